package bfresource

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bilberryflow.org/lib/bfpace"
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
	AnswerPause     bfsettings.Duration `json:"answerPause,omitempty" jsonschema:"description=Time that a client may take to read a piece of a long answer while other requests wait for its target; by default 2s."`
}

// Defaults of Clients.
const (
	defaultMemoryShare     = 0.4
	defaultConnectionShare = 0.5
	defaultBodyRate        = 16 << 10
	defaultBodyPause       = 500 * time.Millisecond
	defaultAnswerPause     = 2 * time.Second
)

const megabyte = 1_000_000

// NewLimits returns the limits of a process on a machine.
func NewLimits(machine Machine, clients Clients) Limits {
	l := Limits{
		MachineMemory: int64(machine.MemoryMB * megabyte), Descriptors: machine.Descriptors,
		MemoryShare: clients.MemoryShare, ConnectionShare: clients.ConnectionShare,
		Body: bfpace.Terms{Rate: clients.BodyRate, Pause: clients.BodyPause.Std()}, AnswerPause: clients.AnswerPause.Std(),
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
	if l.Body.Rate <= 0 {
		l.Body.Rate = defaultBodyRate
	}
	if l.Body.Pause <= 0 {
		l.Body.Pause = defaultBodyPause
	}
	if l.AnswerPause <= 0 {
		l.AnswerPause = defaultAnswerPause
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
	// Body is the pace of bodies that others wait for, and AnswerPause that of a reader's piece.
	Body        bfpace.Terms
	AnswerPause time.Duration
}

const (
	// answerParts is the part of the clients' memory that is for the answers of targets, as a divisor.
	answerParts = 4
	// maxAnswerMemory bounds it in bytes.
	maxAnswerMemory = 16 << 20
	// runtimeShare is the share of the memory above which the runtime collects garbage without waiting for the
	// heap to double. The rest is for what the runtime doesn't count.
	runtimeShare = 0.75
)

// clientMemory returns the memory for all clients in bytes.
func (l Limits) clientMemory() int64 { return int64(l.MemoryShare * float64(l.MachineMemory)) }

// AnswerMemory returns the memory for the beginnings of targets' answers in bytes.
func (l Limits) AnswerMemory() int64 { return min(l.clientMemory()/answerParts, maxAnswerMemory) }

// requestMemory returns the memory for requests and connections in bytes.
func (l Limits) requestMemory() int64 { return l.clientMemory() - l.AnswerMemory() }

// LimitRuntime sets the soft limit of the runtime's memory, unless GOMEMLIMIT does. Without it, the heap may grow
// to twice of what is in use before garbage is collected.
func (l Limits) LimitRuntime() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(runtimeShare * float64(l.MachineMemory)))
	}
}

const (
	// fileParts is the part of the descriptors that is kept for files, as a divisor.
	fileParts = 20
	// ownDescriptors is the number of descriptors that a process needs beside connections: its ports, the
	// runtime's and the standard streams.
	ownDescriptors = 32
	// minConnections is the least number of connections of a port.
	minConnections = 8
)

// Shares of the connections that callers don't get.
const (
	nodeShare    = 0.4
	peerShare    = 0.2
	serviceShare = 0.03
	forwardShare = 0.2
	targetShare  = 0.08
)

// connections returns a number of connections, 0 without limits.
func (l Limits) connections(share float64) int {
	if l == (Limits{}) {
		return 0
	}
	usable := l.Descriptors - l.Descriptors/fileParts - ownDescriptors
	return max(int(share*float64(usable)), minConnections)
}

// CallerConnections returns the limit of the connections of callers.
func (l Limits) CallerConnections() int { return l.connections(l.ConnectionShare) }

// NodeConnections returns the limit of the connections of other nodes' requests.
func (l Limits) NodeConnections() int { return l.connections((1 - l.ConnectionShare) * nodeShare) }

// PeerConnections returns the limit of the connections of other nodes' calls.
func (l Limits) PeerConnections() int { return l.connections((1 - l.ConnectionShare) * peerShare) }

// ServiceConnections returns the limit of each of the ports for reports, readiness, operators and metrics.
func (l Limits) ServiceConnections() int {
	return l.connections((1 - l.ConnectionShare) * serviceShare)
}

// ForwardConnections returns the limit of the connections to other nodes.
func (l Limits) ForwardConnections() int {
	return l.connections((1 - l.ConnectionShare) * forwardShare)
}

// TargetConnections returns the limit of the connections to the node's target.
func (l Limits) TargetConnections() int { return l.connections((1 - l.ConnectionShare) * targetShare) }

// unknownMemory is assumed where the system does not tell, in bytes.
const unknownMemory = 1 << 30

// systemMemory returns the memory of the machine in bytes.
func systemMemory() int64 {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return unknownMemory
	}
	for line := range strings.Lines(string(info)) {
		fields := strings.Fields(line)
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
