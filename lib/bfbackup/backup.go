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
	// pollInterval is the average time between checks for changes.
	pollInterval = 500 * time.Millisecond
	// maxRowBytes bounds the encoded row; the platform accepts 64 KiB.
	maxRowBytes = 48 << 10
	// rowKey is the key of the only row.
	rowKey = "held"
)

// Config holds the dependencies of a Backup.
type Config struct {
	// Table is the name of the table that holds the copy.
	Table string
	Rows  bfstore.TableStore
	// Book is this node's quarantine.
	Book *bfquarantine.Book
	// IsMaintainer reports whether this node currently maintains the copy.
	IsMaintainer func() bool
	// Era returns the era of the store; nil for a store that is never restored from a copy.
	Era func() uint64
	// Restore merges restored records into this node's quarantine and distributes them to the other nodes.
	Restore func([]bfquarantine.Record)
	// FirstStart reports that the fleet starts for the first time, so that there is no copy to read.
	FirstStart bool
	Timer      *bftimer.Service
	Logger     *bflog.Logger
}

// Backup maintains the copy while Config.IsMaintainer reports true.
type Backup struct {
	config Config
	// rowKnown reports that revision and storedDigest match the stored row.
	rowKnown     bool
	revision     bfstore.Revision
	storedDigest uint64
	// era is the era of the store in which the row was read or written.
	era uint64
}

// New returns the Backup of a node; Run starts it.
func New(config Config) *Backup { return &Backup{config: config, rowKnown: config.FirstStart} }

// row is the value of the stored row.
type row struct {
	Records []bfquarantine.Record `cbor:"1,keyasint"`
	// Digest is the digest of the whole quarantine, of which Records may be a part.
	Digest uint64 `cbor:"2,keyasint"`
}

// Run maintains the copy until ctx is done; it logs errors and returns nil.
func (b *Backup) Run(ctx context.Context) error {
	for b.config.Timer.Wait(ctx, b.config.Timer.Jittered(pollInterval, pollJitter)()) == nil {
		if !b.config.IsMaintainer() {
			// Another node may write the row in the meantime.
			b.rowKnown = false
			continue
		}
		if err := b.step(ctx); err != nil && ctx.Err() == nil {
			b.config.Logger.Emit(bflog.BackupError, bflog.Err(err))
		}
	}
	return nil
}

// pollJitter is the share of pollInterval by which checks vary, so that nodes don't poll in step.
const pollJitter = 0.2

// step reads the row unless it is known, and writes it if its digest differs from the quarantine's.
func (b *Backup) step(ctx context.Context) error {
	b.checkEra()
	if !b.rowKnown {
		if err := b.read(ctx); err != nil {
			return err
		}
	}
	if heldDigest := b.config.Book.View().HeldDigest(); heldDigest != b.storedDigest {
		return b.write(ctx, heldDigest)
	}
	return nil
}

// checkEra forgets the row when the store has been restored: its copy may lack records that this
// node has written.
func (b *Backup) checkEra() {
	if b.config.Era == nil {
		return
	}
	era := b.config.Era()
	if b.era > 0 && era != b.era {
		b.rowKnown = false
	}
	b.era = era
}

func (b *Backup) read(ctx context.Context) error {
	entries, _, err := b.config.Rows.List(ctx, b.config.Table)
	if err != nil {
		return err
	}
	b.rowKnown, b.revision, b.storedDigest = true, 0, 0
	for _, entry := range entries {
		if entry.Key != rowKey || entry.Removed {
			continue
		}
		b.revision = entry.Revision
		var stored row
		if err := bfcodec.Unmarshal(entry.Value, "copy of the quarantine", &stored); err != nil {
			// The next write replaces the damaged row.
			return err
		}
		b.storedDigest = stored.Digest
		b.config.Restore(stored.Records)
		b.config.Logger.Emit(bflog.BackupRead, slog.Int("contents", len(stored.Records)))
	}
	return nil
}

func (b *Backup) write(ctx context.Context, heldDigest uint64) error {
	value, err := encode(b.config.Book.Held(b.config.Timer.Now()), heldDigest)
	if err != nil {
		return err
	}
	revision, err := b.config.Rows.Write(ctx, b.config.Table, bfstore.RowWrite{Key: rowKey, Value: value, Revision: b.revision})
	if err == nil {
		b.revision, b.storedDigest = revision, heldDigest
		return nil
	}
	var conflict *bfstore.ConflictError
	var unavailable *bfstore.UnavailableError
	if errors.As(err, &conflict) || !errors.As(err, &unavailable) {
		// Another node wrote the row, or the outcome of this write is unknown.
		b.rowKnown = false
	}
	return err
}

// encode encodes the row, and halves the number of records until it fits into maxRowBytes;
// records are sorted by the time of their last crash, newest first.
func encode(records []bfquarantine.Record, digest uint64) ([]byte, error) {
	for {
		data, err := bfcodec.Marshal(row{Records: records, Digest: digest})
		if err != nil || len(data) <= maxRowBytes {
			return data, err
		}
		records = records[:len(records)/2]
	}
}
