package bfmember

import (
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfview"
)

// The names in this file have moved to packages below; they stay here only until
// every importer names the new places, and nothing in this package uses them.

// Names of bfroster.
type (
	// State is bfroster.State.
	State = bfroster.State
	// TargetState is bfroster.TargetState.
	TargetState = bfroster.TargetState
	// Row is bfroster.Row.
	Row = bfroster.Row
	// RowError is bfroster.RowError.
	RowError = bfroster.RowError
	// Key is bfroster.Key.
	Key = bfroster.Key
	// Member is bfroster.Member.
	Member = bfroster.Member
	// Group is bfroster.Group.
	Group = bfroster.Group
	// Order is bfroster.Order.
	Order = bfroster.Order
)

// Names of bfroster.
const (
	Alive         = bfroster.Alive
	Suspect       = bfroster.Suspect
	Dead          = bfroster.Dead
	Left          = bfroster.Left
	TargetNone    = bfroster.TargetNone
	TargetCold    = bfroster.TargetCold
	TargetReady   = bfroster.TargetReady
	TargetLeaving = bfroster.TargetLeaving
	TargetSilent  = bfroster.TargetSilent
)

// HashID is bfroster.HashID.
func HashID(id string) uint64 { return bfroster.HashID(id) }

// Compare is bfroster.Compare.
func Compare(a, b bfroster.Row) int { return bfroster.Compare(a, b) }

// NewOrder is bfroster.NewOrder.
func NewOrder(rows []bfroster.Row) *bfroster.Order { return bfroster.NewOrder(rows) }

// CollisionError is bfview.CollisionError.
type CollisionError = bfview.CollisionError

// Names of bfgossip.
type (
	// Message is bfgossip.Message.
	Message = bfgossip.Message
	// Advert is bfgossip.Advert.
	Advert = bfgossip.Advert
	// News is bfgossip.News.
	News = bfgossip.News
	// Mark is bfgossip.Mark.
	Mark = bfgossip.Mark
	// Loss is bfgossip.Loss.
	Loss = bfgossip.Loss
	// Outage is bfgossip.Outage.
	Outage = bfgossip.Outage
	// Probe is bfgossip.Probe.
	Probe = bfgossip.Probe
	// Ack is bfgossip.Ack.
	Ack = bfgossip.Ack
	// ProbeRequest is bfgossip.ProbeRequest.
	ProbeRequest = bfgossip.ProbeRequest
	// Summary is bfgossip.Summary.
	Summary = bfgossip.Summary
	// Detail is bfgossip.Detail.
	Detail = bfgossip.Detail
	// BucketDetail is bfgossip.BucketDetail.
	BucketDetail = bfgossip.BucketDetail
	// Repair is bfgossip.Repair.
	Repair = bfgossip.Repair
	// PageRequest is bfgossip.PageRequest.
	PageRequest = bfgossip.PageRequest
	// Page is bfgossip.Page.
	Page = bfgossip.Page
	// Meeting is bfgossip.Meeting.
	Meeting = bfgossip.Meeting
	// CodecError is bfgossip.CodecError.
	CodecError = bfgossip.CodecError
)

// Owns is bfgossip.Owns.
func Owns(data []byte) bool { return bfgossip.Owns(data) }

// Encode is bfgossip.Encode.
func Encode(m bfgossip.Message) ([]byte, error) { return bfgossip.Encode(m) }

// Decode is bfgossip.Decode.
func Decode(data []byte) (bfgossip.Message, error) { return bfgossip.Decode(data) }

// EncodeMeeting is bfgossip.EncodeMeeting.
func EncodeMeeting(m bfgossip.Meeting) ([]byte, error) { return bfgossip.EncodeMeeting(m) }

// DecodeMeeting is bfgossip.DecodeMeeting.
func DecodeMeeting(data []byte) (bfgossip.Meeting, error) { return bfgossip.DecodeMeeting(data) }
