package bftraffic

import (
	"fmt"
	"strings"
)

// maxNameBytes bounds the name of a workspace, which is sent in a header of each request.
const maxNameBytes = 256

// emptyKey is the digest of an empty key, which any request without a key would match.
var emptyKey = DigestKey("")

// checkWorkspaces validates the workspaces that are not shared with previous, which is valid, and
// that names and keys are unique.
func (s *Snapshot) checkWorkspaces(previous *Snapshot, specs []WorkspaceSpec) error {
	held := previous.heldWorkspaces()
	if s.workspaces == held {
		return nil
	}
	keys := 0
	for _, spec := range specs {
		workspace := s.workspaces.byName[spec.Name]
		keys += len(workspace.spec.Keys)
		if workspace == held.byName[spec.Name] {
			continue
		}
		if err := s.checkWorkspace(spec); err != nil {
			return err
		}
	}
	if len(s.workspaces.byName) == len(specs) && len(s.workspaces.byKey) == keys {
		return nil
	}
	return s.duplicateError(specs)
}

func (s *Snapshot) checkWorkspace(w WorkspaceSpec) error {
	at := "workspace " + w.Name
	switch {
	case w.Name == "":
		return s.specError("workspace name", "", "a name that is not empty")
	case len(w.Name) > maxNameBytes:
		return s.specError(at+" name", w.Name, fmt.Sprintf("at most %d bytes", maxNameBytes))
	case strings.TrimSpace(w.Name) != w.Name || strings.ContainsFunc(w.Name, isControl):
		// The name is the value of a header.
		return s.specError(at+" name", w.Name, "no control characters, no spaces at its ends")
	case w.Rank < 0:
		return s.specError(at+" rank", fmt.Sprint(w.Rank), "0 or more")
	case w.Rate < 0:
		return s.specError(at+" rate", fmt.Sprint(w.Rate), "0 or more")
	case w.Burst < 0:
		return s.specError(at+" burst", fmt.Sprint(w.Burst), "0 or more")
	}
	for _, key := range w.Keys {
		if key == emptyKey {
			return s.specError(at+" key", key.Fingerprint(), "a key that is not empty")
		}
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// duplicateError returns the error that names the first name or key that occurs twice.
func (s *Snapshot) duplicateError(specs []WorkspaceSpec) error {
	names, holders := map[string]bool{}, map[KeyDigest]string{}
	for _, w := range specs {
		if names[w.Name] {
			return s.specError("workspace "+w.Name+" name", w.Name, "a name of one workspace")
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if other, found := holders[key]; found && other != w.Name {
				return s.specError("workspace "+w.Name+" key", key.Fingerprint(), "a key of one workspace, not also of "+other)
			}
			holders[key] = w.Name
		}
	}
	return nil
}
