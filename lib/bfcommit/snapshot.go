package bfcommit

import (
	"slices"
	"strconv"
	"strings"

	"bilberryflow.org/lib/bfconfig"
)

// WritesSnapshot reports whether the node that committed version writes its snapshot, every so many versions.
//
// The committer holds the state anyway, and no other node has to agree on it.
// If it dies first the snapshot is missing, and a reader takes the one before.
func WritesSnapshot(version, every bfconfig.Version) bool {
	return version > 0 && every > 0 && version%every == 0
}

// PickSnapshot lists the versions among the names in the order to try them, newest first.
func PickSnapshot(names []string) []bfconfig.Version {
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
