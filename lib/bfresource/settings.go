package bfresource

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bilberryflow.org/lib/bfsettings"
)

// Machine holds what the machine offers the process; fields that are 0 are read from the system.
type Machine struct {
	MemoryMB    float64 `json:"memoryMB,omitempty" jsonschema:"minimum=0,maximum=16777216,description=Memory of the process in MB of 1\\,000\\,000 bytes; by default the memory of the machine."`
	Descriptors int     `json:"descriptors,omitempty" jsonschema:"minimum=0,maximum=100000000,description=File descriptors of the process; by default the limit that the system sets."`
}

// Clients holds the limits of what clients may take; fields that are 0 have the defaults.
type Clients struct {
	MemoryShare     float64             `json:"memoryShare,omitempty" jsonschema:"minimum=0,maximum=0.6,description=Share of the memory that is held for clients of all ports together; by default 0.4."`
	ConnectionShare float64             `json:"connectionShare,omitempty" jsonschema:"minimum=0,maximum=0.6,description=Share of the descriptors for callers' connections; by default 0.5."`
	BodyRate        int                 `json:"bodyRate,omitempty" jsonschema:"minimum=0,maximum=1000000000,description=Bytes per second at which a body must arrive that occupies its target while other requests wait for it; by default 16384."`
	BodyPause       bfsettings.Duration `json:"bodyPause,omitempty" jsonschema:"description=Time for which such a body may pause; by default 500ms."`
}

// Defaults of Clients.
const (
	defaultMemoryShare     = 0.4
	defaultConnectionShare = 0.5
	defaultBodyRate        = 16 << 10
	defaultBodyPause       = 500 * time.Millisecond
)

const megabyte = 1_000_000

// NewLimits returns the limits of a process on a machine.
func NewLimits(machine Machine, clients Clients) Limits {
	l := Limits{
		MachineMemory: int64(machine.MemoryMB * megabyte), Descriptors: machine.Descriptors,
		MemoryShare: clients.MemoryShare, ConnectionShare: clients.ConnectionShare,
		BodyRate: clients.BodyRate, BodyPause: clients.BodyPause.Std(),
	}
	if l.MachineMemory <= 0 {
		l.MachineMemory = systemMemory()
	}
	if l.Descriptors <= 0 {
		l.Descriptors = systemDescriptors()
	}
	if l.MemoryShare <= 0 {
		l.MemoryShare = defaultMemoryShare
	}
	if l.ConnectionShare <= 0 {
		l.ConnectionShare = defaultConnectionShare
	}
	if l.BodyRate <= 0 {
		l.BodyRate = defaultBodyRate
	}
	if l.BodyPause <= 0 {
		l.BodyPause = defaultBodyPause
	}
	return l
}

// Limits are the limits of a process.
type Limits struct {
	// MachineMemory is the memory of the process in bytes.
	MachineMemory int64
	// Descriptors is the number of descriptors of the process.
	Descriptors int
	// MemoryShare and ConnectionShare are the shares for all clients and for callers' connections.
	MemoryShare, ConnectionShare float64
	// BodyRate is in bytes per second.
	BodyRate  int
	BodyPause time.Duration
}

// unknownMemory is assumed where the system does not tell, in bytes.
const unknownMemory = 1 << 30

// systemMemory returns the memory of the machine in bytes.
func systemMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return unknownMemory
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kib, err := strconv.ParseInt(fields[1], 10, 64); err == nil && kib > 0 {
			return kib << 10
		}
	}
	return unknownMemory
}

// unknownDescriptors is assumed where the system does not tell.
const unknownDescriptors = 1024

// systemDescriptors returns the limit of the process's descriptors.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return unknownDescriptors
	}
	const most = 1 << 30 // RLIM_INFINITY exceeds an int
	return int(min(limit.Cur, most))
}
