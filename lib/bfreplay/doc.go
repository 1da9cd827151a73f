// Package bfreplay replays a load through the decisions that place, hold and refuse
// requests, in simulated time and without any connection. It uses the very parts that
// nodes use: bffleet chooses targets, bfslot hands out their slots, and bfwalk says
// how long requests look and wait. A day of a service is replayed in a second, and two
// ways of deciding can be held against each other on the same arrivals.
package bfreplay
