// Package bfretry decides what an entry node does after a send that did not
// bring the caller's answer: send again, or give up with a truthful answer.
//
// A request is sent again only if it was proven not run or is idempotent, only
// while its deadline allows, and only within a budget. Calls go up to six hops
// deep, and retries at each hop would multiply: three at each make 4^6 sends of
// one request. Three rules are against that. An answer that a deeper hop has
// given up on is final and is handed up as it is, and a copy that is itself a
// retry is not retried further down: so one request is retried at one hop only.
// And the hops divide one share between them, earned by first copies alone: so
// all requests together are sent at most 1+share times at any hop.
package bfretry
