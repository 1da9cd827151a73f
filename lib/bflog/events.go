package bflog

import "log/slog"

// Events of a process's life.
var (
	ProcessStarted  = declare(1001, slog.LevelInfo, "process started", "Nothing.")
	ProcessStopping = declare(1002, slog.LevelInfo, "graceful stop began", "Nothing; work in flight is finished first.")
	ProcessStopped  = declare(1003, slog.LevelInfo, "process stopped", "Nothing.")
	ProcessFailed   = declare(1004, slog.LevelError, "process failed", "Read the error; the process exits with code 1.")
	SettingsRead    = declare(1005, slog.LevelInfo, "settings file read again", "Nothing; ports and names need a restart.")
	LinesDropped    = declare(1007, slog.LevelWarn, "log lines dropped", "The counters show what happened; of_event is the kind that was cut short.")
	SettingsRefused = declare(1006, slog.LevelWarn, "settings file is wrong, old settings stay", "Mend the field that the error names and send SIGHUP again.")
)

// Events of configuration.
var (
	VersionAdopted       = declare(2001, slog.LevelInfo, "version in force", "Nothing.")
	VersionRefused       = declare(2002, slog.LevelError, "version refused whole", "The older version stays in force; undo the version named, or update this node.")
	VersionCommitted     = declare(2003, slog.LevelInfo, "version committed", "Nothing.")
	CommitUnknown        = declare(2004, slog.LevelWarn, "outcome of a commit unknown", "Ask again with the change ID, or confirm again: it is safe.")
	TableUnavailable     = declare(2005, slog.LevelWarn, "table service does not answer", "Requests go on by the configuration held; changes are refused until it answers.")
	TableAvailable       = declare(2006, slog.LevelInfo, "table service answers again", "Nothing.")
	SnapshotUnusable     = declare(2007, slog.LevelWarn, "snapshot unusable", "The one before is taken; look into the object store.")
	DigestMismatch       = declare(2008, slog.LevelWarn, "digest differs after a delta", "A snapshot is fetched; report it if it repeats.")
	RecoveryWaiting      = declare(2009, slog.LevelWarn, "start waits for a current version", "Neither the table nor enough peers answer; check both.")
	RecoveryDone         = declare(2010, slog.LevelInfo, "start found its version", "Nothing.")
	ConfigurationAged    = declare(2011, slog.LevelWarn, "node cut off from the source of configuration", "It serves what it holds; check its network.")
	ConfigurationCurrent = declare(2012, slog.LevelInfo, "node hears from the table or a member again", "Nothing.")
	DeltaRefused         = declare(2013, slog.LevelInfo, "delta does not fit the version held", "Nothing: the node asks for what it lacks.")
)

// Events of membership.
var (
	MemberJoined    = declare(3001, slog.LevelInfo, "member joined", "Nothing.")
	MemberSuspected = declare(3002, slog.LevelInfo, "member suspected", "Nothing unless it repeats for one instance.")
	MemberDead      = declare(3003, slog.LevelWarn, "member dead", "Replace the instance if it was not stopped on purpose.")
	MemberLeft      = declare(3004, slog.LevelInfo, "member left", "Nothing.")
	SelfRefuted     = declare(3005, slog.LevelWarn, "this node was suspected and refuted it", "Look for pauses or loss on this instance if it repeats.")
	DomainLost      = declare(3006, slog.LevelError, "failure domain lost", "Look at the domain's power and network; its targets get no requests until it answers again.")
	DomainBack      = declare(3007, slog.LevelInfo, "failure domain answers again", "Nothing.")
)

// Events of requests.
var (
	TargetAnnounced  = declare(4001, slog.LevelInfo, "target announced itself", "Nothing.")
	TargetLeaving    = declare(4002, slog.LevelInfo, "target leaves", "Nothing; its work in flight is finished.")
	TargetSilent     = declare(4003, slog.LevelWarn, "target's heartbeat stopped", "Check the target; it gets no new work.")
	OutcomeUnknown   = declare(4004, slog.LevelWarn, "outcome of a request unknown", "The caller was told so; find the request by its ID at the target.")
	ClaimNotSettled  = declare(4006, slog.LevelWarn, "end of a claimed key not recorded", "A resend with that key is told that the outcome is unknown.")
	RunStarted       = declare(4007, slog.LevelInfo, "run begins at the stand-in target", "Nothing; it is the ledger that outlives the process.")
	ConnectionSilent = declare(4005, slog.LevelWarn, "connection went silent", "Nothing; it was replaced and its requests resolved.")
)

// Events of requests under a configuration that the platform keeps.
var (
	RequestRefused = declare(4101, slog.LevelInfo, "request refused, not run", "The reason says which limit; callers were told when to come back.")
	RequestLost    = declare(4102, slog.LevelWarn, "request brought no whole answer, may have run", "Look for the request at the node of its target.")
	RequestExpired = declare(4103, slog.LevelInfo, "request's time is over", "Where it was sent, look at the target's running times.")
)

// Events of requests under which targets end.
var (
	TargetCrashed      = declare(4107, slog.LevelWarn, "target ended while it ran requests", "Look for a request that ran at several ends: the same content stands in the lines of all of them.")
	RequestSuspected   = declare(4108, slog.LevelInfo, "targets ended under a request, it runs apart", "Nothing yet; its answer clears it, the next end of a target has it held.")
	RequestQuarantined = declare(4109, slog.LevelWarn, "targets ended under a request, it is held", "Find the request by its content in the lines 4107 and mend the target; it is refused until then, and tried again after the time given.")
	BackupRead         = declare(4110, slog.LevelInfo, "requests held before the fleet's start are held again", "Nothing.")
	BackupError        = declare(4111, slog.LevelWarn, "copy of the held requests not read or written", "It is tried again; a fleet that is started anew meanwhile forgets them.")
)

// Events of the store that the platform keeps.
var (
	StoreLost       = declare(2101, slog.LevelWarn, "store does not answer this node", "Requests go on by what is held; other nodes are asked for news.")
	StoreRegained   = declare(2102, slog.LevelInfo, "store answers this node again", "Nothing.")
	StoreListed     = declare(2103, slog.LevelInfo, "table read whole", "Nothing; it follows a start or history that the store dropped.")
	RowRefused      = declare(3106, slog.LevelWarn, "row of another writer passed over", "Find who else writes to the members' table.")
	StandingChanged = declare(3108, slog.LevelInfo, "what this node reads and tells has changed", "Nothing; a follower that reads means that nobody told it anything.")
	RowAlone        = declare(3109, slog.LevelInfo, "this node's row is written alone", "Nothing; the node that gathers rows was not reached or did not write them.")
	BatchNotMade    = declare(3110, slog.LevelWarn, "rows of several nodes were not written together", "Nothing where the store does not answer; each node writes its own row.")
	ReportRefused   = declare(3107, slog.LevelWarn, "report refused, it is no target's", "Find who else calls the node's port for its target.")
	NodeFound       = declare(3104, slog.LevelInfo, "node takes connections again", "Nothing.")
	RowForgotten    = declare(3105, slog.LevelWarn, "row of a lost node removed", "Nothing; if the node lives it writes its row again.")
	FleetChanged    = declare(3101, slog.LevelInfo, "members changed", "Nothing.")
	RequestLate     = declare(4105, slog.LevelInfo, "answer came after its objective", "last_sending less slot_wait and at_target is the way between the nodes.")
	TargetAside     = declare(4106, slog.LevelInfo, "target passed over for a while", "The reason is its node's; it is tried again by itself.")
	TargetChanged   = declare(4104, slog.LevelInfo, "belief about the target changed", "Nothing.")
	Announced       = declare(3102, slog.LevelInfo, "this node's row written or removed", "Nothing.")
	AnnounceError   = declare(3103, slog.LevelWarn, "this node's row could not be written", "It is tried again; others may not know this node until then.")
)

// Events of the impossible: each is a fault of the program, reported with what it saw.
var (
	InvariantBroken = declare(9001, slog.LevelError, "invariant broken", "Report it with the whole line.")
)
