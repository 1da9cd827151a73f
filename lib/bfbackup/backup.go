package bfbackup

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

const (
	// interval is the pause between two looks at whether there is something to do.
	interval = 500 * time.Millisecond
	// longestRow bounds the row in bytes: the platform takes 64 KiB.
	longestRow = 48 << 10
	// rowKey is the key of the one row.
	rowKey = "held"
)

// Parts is what a Backup works with.
type Parts struct {
	Table string
	Rows  bfstore.Rows
	Book  *bfquarantine.Book
	// Keeps reports whether this node keeps the copy now.
	Keeps func() bool
	// Take takes what the copy holds, here and at the other nodes.
	Take func([]bfquarantine.Record)
	// First says that the whole fleet starts for the first time: there is no copy.
	First  bool
	Timer  *bftimer.Service
	Logger *bflog.Logger
}

// Backup keeps the copy while this node is the one that does.
type Backup struct {
	parts Parts
	// known says that the row is known, as of revision; kept is the digest of what it holds.
	known    bool
	revision uint64
	kept     uint64
}

// New makes the backup of a node.
func New(parts Parts) *Backup { return &Backup{parts: parts, known: parts.First} }

// row is what the store holds.
type row struct {
	Records []bfquarantine.Record `cbor:"1,keyasint"`
	// Digest identifies what was held, of which Records may be a part.
	Digest uint64 `cbor:"2,keyasint"`
}

// Run keeps the copy until ctx ends.
func (b *Backup) Run(ctx context.Context) error {
	for b.parts.Timer.Wait(ctx, b.parts.Timer.Jittered(interval, intervalShare)()) == nil {
		if !b.parts.Keeps() {
			// Another node may write the row meanwhile.
			b.known = false
			continue
		}
		if err := b.step(ctx); err != nil && ctx.Err() == nil {
			b.parts.Logger.Emit(bflog.BackupError, bflog.Err(err))
		}
	}
	return nil
}

// intervalShare spreads the looks of nodes that start together.
const intervalShare = 0.2

// step reads the row if it is not known, and writes it if it is not what it should be.
func (b *Backup) step(ctx context.Context) error {
	if !b.known {
		if err := b.read(ctx); err != nil {
			return err
		}
	}
	if held := b.parts.Book.View().HeldDigest(); held != b.kept {
		return b.write(ctx, held)
	}
	return nil
}

func (b *Backup) read(ctx context.Context) error {
	entries, _, err := b.parts.Rows.List(ctx, b.parts.Table)
	if err != nil {
		return err
	}
	b.known, b.revision, b.kept = true, 0, 0
	for _, entry := range entries {
		if entry.Key != rowKey || entry.Removed {
			continue
		}
		b.revision = entry.Revision
		var copied row
		if err := bfcodec.Unmarshal(entry.Value, "copy of the quarantine", &copied); err != nil {
			// It is written over by what is held now.
			return err
		}
		b.kept = copied.Digest
		b.parts.Take(copied.Records)
		b.parts.Logger.Emit(bflog.BackupRead, slog.Int("contents", len(copied.Records)))
	}
	return nil
}

func (b *Backup) write(ctx context.Context, held uint64) error {
	value, err := encode(b.parts.Book.Held(b.parts.Timer.Now()), held)
	if err != nil {
		return err
	}
	revision, err := b.parts.Rows.Write(ctx, b.parts.Table, bfstore.RowWrite{Key: rowKey, Value: value, Revision: b.revision})
	if err == nil {
		b.revision, b.kept = revision, held
		return nil
	}
	var conflict *bfstore.ConflictError
	var unavailable *bfstore.UnavailableError
	if errors.As(err, &conflict) || !errors.As(err, &unavailable) {
		// Another node wrote it, or this write may have been made.
		b.known = false
	}
	return err
}

// encode writes as many records as a row bears, those with the newest ends of targets first.
func encode(records []bfquarantine.Record, digest uint64) ([]byte, error) {
	for {
		data, err := bfcodec.Marshal(row{Records: records, Digest: digest})
		if err != nil || len(data) <= longestRow {
			return data, err
		}
		records = records[:len(records)/2]
	}
}
