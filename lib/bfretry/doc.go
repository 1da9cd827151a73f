// Package bfretry decides what an entry node does after a send that returned no
// answer for the caller: retry, or give up and report the outcome.
//
// A request is retried only if it is known not to have run or is idempotent, only
// before its deadline, and only within a retry budget. Calls are nested up to six
// hops deep, and independent retries would multiply: three at each hop make 4^6
// sends of one request. Three rules prevent that. An outcome that a deeper hop has
// given up on is final and is returned unchanged, and a request that is itself a
// retry is not retried further down, so each request is retried at one hop only.
// The hops also divide one budget between them that only first attempts add to, so
// that any hop sends at most 1+share times the requests that it receives.
package bfretry
