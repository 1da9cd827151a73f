package bfgrammar

import (
	"fmt"
	"strings"
	"unicode"
)

// Usage is the help text of one command.
type Usage struct {
	// Name is the command's first word.
	Name string
	// Forms are the syntax variants; words in capitals are placeholders for values.
	Forms   []string
	Summary string
	Example string
}

// Usages lists the commands in the order of docs/LANGUAGE.md. The edits create,
// change and remove are valid only inside stage.
func Usages() []Usage {
	return []Usage{
		{"stage", []string{"stage NAME { EDIT; EDIT … }", "stage NAME EDIT"},
			"Collects edits (create, change, remove) into a staged change; nothing is in force until it is confirmed.",
			`stage autumn { create service docs slots 9; remove route old-docs }`},
		{"create", []string{
			"create service NAME [slots N] [coldstart DURATION]",
			"create route NAME prefix PATH [methods METHOD, … | any] service NAME policy NAME",
			"create policy NAME class NAME deadline DURATION [idempotent [yes|no]] [priority N] [queue N]" +
				" [concurrency N] [retry PERCENT] [tenantlimit N] [durablekeys [yes|no]]",
			"create event NAME start TIME end TIME [warmup DURATION] [override ROUTE by POLICY, … | none]",
		}, "Makes an object that must not exist; only inside stage.",
			`stage assets create route assets prefix "/assets" methods GET,HEAD service asset-vault policy lookup`},
		{"change", []string{"change KIND NAME FIELD …"},
			"Alters the named fields of an object that must exist; only inside stage.",
			`stage slower change policy lookup deadline 3s queue 50`},
		{"remove", []string{"remove KIND NAME"},
			"Deletes an object that must exist and that nothing needs; only inside stage.",
			`stage tidy remove event print-deadline`},
		{"show", []string{"show TABLE [where CONDITION] [order by FIELD [desc]] [limit N]"},
			"Lists events, services, routes, policies, members, targets, versions, nodes, staged changes, requests in quarantine or workspaces.",
			`show policies where idempotent = no and (deadline > 2s or class ~ "^order") order by deadline desc limit 10`},
		{"diff", []string{"diff NAME"},
			"Shows field by field what a staged change would alter, and whether others came first.",
			`diff autumn`},
		{"confirm", []string{"confirm NAME [id ID]"},
			"Commits a staged change as the next version; the same ID may be confirmed again and finds its own outcome.",
			`confirm autumn`},
		{"discard", []string{"discard NAME"},
			"Drops a staged change.",
			`discard autumn`},
		{"in", []string{"in force [at node NAME | in domain NAME | in region NAME | everywhere]"},
			"Tells which versions are held where, and which nodes are out of reach.",
			`in force in domain wien-nord`},
		{"explain", []string{"explain METHOD PATH [as TENANT] [at TIME]"},
			"Tells which route, policy, event and targets a request would get, and why.",
			`explain GET /assets/logos as agency-7 at 2026-12-24T16:30:00Z`},
		{"history", []string{"history of KIND NAME [limit N]"},
			"Lists the versions that put or removed an object, the newest first.",
			`history of route assets limit 5`},
		{"undo", []string{"undo VERSION [as NAME]"},
			"Stages what takes the version's change back, as undo-VERSION; confirm it to put it in force.",
			`undo 41`},
		{"drain", []string{"drain INSTANCE"},
			"Makes a target leave: no new work, work in flight is finished.",
			`drain portal-core-3`},
		{"release", []string{"release CONTENT"},
			"Has a request run again under which targets ended; show quarantine lists them.",
			`release 135e03bf6d19a791a015dc102f6fbdfb`},
		{"watch", []string{"watch version N|latest [for DURATION]"},
			"Follows a version until every node holds it.",
			`watch version latest for 30s`},
		{"help", []string{"help [COMMAND]"},
			"Shows this list, or one command with an example.",
			`help show`},
	}
}

func usageOf(name string) (Usage, bool) {
	for _, usage := range Usages() {
		if usage.Name == name {
			return usage, true
		}
	}
	return Usage{}, false
}

// HelpText returns the help on one command, or on all commands if topic is empty.
func HelpText(topic string) string {
	var text strings.Builder
	if usage, found := usageOf(topic); found {
		for _, form := range usage.Forms {
			text.WriteString(form + "\n")
		}
		fmt.Fprintf(&text, "\n%s\n\nExample:\n  %s", usage.Summary, usage.Example)
		return text.String()
	}
	text.WriteString("One command a line, or separated by ';'. A comment starts with '#'.\n")
	for _, usage := range Usages() {
		fmt.Fprintf(&text, "\n%s\n    %s", strings.Join(usage.Forms, "\n"), usage.Summary)
	}
	return text.String()
}

// keywords returns the literal words of the command's forms.
func (u Usage) keywords() []string {
	isSeparator := func(r rune) bool { return !unicode.IsLetter(r) }
	var words []string
	for _, form := range u.Forms {
		for _, word := range strings.FieldsFunc(form, isSeparator) {
			if word == strings.ToLower(word) {
				words = append(words, word)
			}
		}
	}
	return words
}
