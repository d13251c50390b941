/*
 * The way of settings to the hosts: settings.pml with its followers in
 * place of its operators. What a follower judges by never goes back, over
 * restarts in a platform outage too. Each of these takes one mechanism
 * out:
 *   BROKEN_TAKE_ANY     a follower takes what a peer has, older or newer
 *   BROKEN_FORCE_ALONE  a follower judges by what no peer holds yet
 */
#define FOLLOWING
#include "settings.pml"
