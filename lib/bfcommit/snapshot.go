package bfcommit

import (
	"slices"
	"strconv"
	"strings"

	"bilberryflow.org/lib/bfconfig"
)

// WritesSnapshot reports whether the node that committed version writes its
// snapshot; that is so for every multiple of every.
//
// The committing node holds the state anyway, and no coordination is needed. If it
// crashes before the write, the snapshot is missing, and readers use the previous one.
func WritesSnapshot(version, every bfconfig.Version) bool {
	return version > 0 && every > 0 && version%every == 0
}

// SnapshotVersions returns the versions of the snapshots among the object names, newest
// first, which is the order to try them in.
func SnapshotVersions(names []string) []bfconfig.Version {
	var versions []bfconfig.Version
	for _, name := range names {
		digits, found := strings.CutPrefix(name, snapshotPrefix)
		number, err := strconv.ParseUint(digits, 10, 64)
		version := bfconfig.Version(number)
		if !found || err != nil || SnapshotKey(version) != name {
			continue // another program's object
		}
		versions = append(versions, version)
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	return slices.Compact(versions)
}
