// Package bfretry decides what an entry node does after a send that did not
// bring the caller's answer: send again, or give up with a truthful answer.
//
// A request is sent again only if it was proven not run or is idempotent, only
// while its deadline allows, and only within a budget. Calls go up to six hops
// deep, and retries at each hop would multiply: three at each make 4^6 sends of
// one request. Three rules keep the sends at every hop within 1+share of the
// requests. An answer that a deeper hop has given up on is final and is handed
// up as it is. A copy that is itself a retry is not retried further down. And
// the hops divide one share between them, so together they never earn more
// than the share.
package bfretry
