"""Policy benchmark: seeded scenarios, real reducers and fake engines."""
