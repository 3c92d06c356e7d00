// Package evaluation replays seeded rollouts of good and bad versions against the
// rollout machines and against baselines, and measures what each of them does.
//
// All methods of a run see the same scenarios and the same random numbers for
// traffic, so that differences come from the method.
package evaluation
