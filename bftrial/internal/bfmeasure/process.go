package bfmeasure

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// usage is the cumulative CPU time and the resident memory of a process.
type usage struct {
	cpu    time.Duration
	memory int64 // resident bytes
}

// clockTick is the unit of CPU time in /proc on Linux.
const clockTick = 10 * time.Millisecond

func usageOf(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The program name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return usage{}, fmt.Errorf("process %d: short stat line", pid)
	}
	var user, system, pages int64
	if _, err := fmt.Sscan(fields[userField], &user); err != nil {
		return usage{}, err
	}
	if _, err := fmt.Sscan(fields[systemField], &system); err != nil {
		return usage{}, err
	}
	memory, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return usage{}, err
	}
	var total int64
	if _, err := fmt.Sscan(string(memory), &total, &pages); err != nil {
		return usage{}, err
	}
	return usage{cpu: time.Duration(user+system) * clockTick, memory: pages * int64(os.Getpagesize())}, nil
}
