// Package bftable speaks the platform's protocol, HTTP with JSON bodies, and
// turns each way a call can fail into what is known of its effect: none, some
// other writer's, or unknown.
package bftable
