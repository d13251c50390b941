/*
 * Followers of settings of which one dies: followers.pml with fewer
 * restarts. Nobody can ask a dead follower what it held; a follower that
 * has read the head since its death answers for it. Each of these takes
 * one mechanism out:
 *   BROKEN_DEAD_IGNORED   nobody has to answer for a dead follower
 *   BROKEN_READ_IGNORED   a follower answers for a dead one by what it
 *                         holds, not by the head that it has read
 */
#define DEATHS
#define RESTARTS 1
#include "followers.pml"
