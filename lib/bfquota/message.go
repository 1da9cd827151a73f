package bfquota

import "time"

// Reading is a reading of a node's clock in milliseconds from a random start; 0 is none.
type Reading int64

// NewStart returns the random reading at which the clock of a process begins, so that the readings of
// its earlier process prove nothing.
func NewStart(random func(n int64) int64) Reading {
	const span = 1 << 40
	return 1 + Reading(random(span))
}

// Delegation hands a member's entitlement to a broker.
type Delegation struct {
	// Member identifies the sender, Process its process and Seq the message within it.
	Member  string `json:"member"`
	Process uint64 `json:"process"`
	Seq     uint64 `json:"seq"`
	// Nodes is the size of the fleet that the sender counts with.
	Nodes int `json:"nodes"`
	// Brokers are all brokers of the sender. Before are those before a change, until none of them can
	// hold a lease of it any more: meanwhile a broker serves a workspace only if it does by both lists.
	Brokers []string `json:"brokers"`
	Before  []string `json:"before,omitempty"`
	// LeaseMS is the length of the lease in milliseconds from the sending, 0 to delegate nothing.
	LeaseMS int64 `json:"lease,omitempty"`
	// Young is set while others may not know the sender or leases of its earlier process may be in
	// force: it delegates only a credit.
	Young bool `json:"young,omitempty"`
	// Credit numbers the credit that the sender grants, 0 for none.
	Credit uint64 `json:"credit,omitempty"`
	// Echo is the reading in the broker's latest answer, and AgeMS the time since that arrived. They
	// give the broker a lower bound of the time at which the message was sent.
	Echo  Reading `json:"echo,omitempty"`
	AgeMS int64   `json:"age,omitempty"`
}

// Receipt answers a Delegation.
type Receipt struct {
	// Reading is the broker's clock, and Process identifies the broker's process.
	Reading Reading `json:"reading"`
	Process uint64  `json:"process"`
	// Recorded is set if the broker holds the delegation that it answers.
	Recorded bool `json:"recorded,omitempty"`
}

// Request asks a broker for tokens of a workspace.
type Request struct {
	Entry     string  `json:"entry"`
	Workspace string  `json:"workspace"`
	Want      float64 `json:"want"`
	// Demand is the entry's recent demand in requests per second.
	Demand float64 `json:"demand"`
	// Waiting is the number of requests that wait for the answer. As many tokens may be used only for
	// quickHold, so that they don't count as held for long.
	Waiting int `json:"waiting,omitempty"`
	// Seen is the latest lot that the entry has received from the broker, and Left how many tokens of
	// it and of earlier ones it still holds.
	Seen uint64 `json:"seen,omitempty"`
	Left int    `json:"left,omitempty"`
}

// Grant answers a Request.
type Grant struct {
	// Lot identifies the tokens when they are returned.
	Lot    uint64 `json:"lot,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	// WaitMS is the time in milliseconds until more tokens are expected, 0 if there are more now, and
	// Rate the tokens per second that the entry may expect then.
	WaitMS int64   `json:"wait,omitempty"`
	Rate   float64 `json:"rate,omitempty"`
}

// Refund gives tokens back to the broker that granted them.
type Refund struct {
	Workspace string `json:"workspace"`
	Lot       uint64 `json:"lot"`
	Tokens    int    `json:"tokens"`
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }

func fromMilliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
