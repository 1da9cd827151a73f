package bflog

import "log/slog"

// Events of the process lifecycle.
var (
	ProcessStarted  = declare(1001, slog.LevelInfo, "process started", "Nothing.")
	ProcessStopping = declare(1002, slog.LevelInfo, "graceful shutdown started", "Nothing; requests in flight finish first.")
	ProcessStopped  = declare(1003, slog.LevelInfo, "process stopped", "Nothing.")
	ProcessFailed   = declare(1004, slog.LevelError, "process failed", "Read the error; the process exits with code 1.")
	SettingsRead    = declare(1005, slog.LevelInfo, "settings file reloaded", "Nothing; changes of ports and names need a restart.")
	LinesDropped    = declare(1007, slog.LevelWarn, "log lines dropped", "Use the counters for totals; of_event is the event whose lines were dropped.")
	ProcessStalled  = declare(1008, slog.LevelWarn, "process did not run on time", "Little processor time: it was suspended, or the clock was set. Much: it has more to do than its share of the processor allows.")
	SettingsRefused = declare(1006, slog.LevelWarn, "settings file invalid, previous settings kept", "Correct the field that the error names and send SIGHUP again.")
)

// Events of the configuration.
var (
	VersionAdopted       = declare(2001, slog.LevelInfo, "configuration version applied", "Nothing.")
	VersionRefused       = declare(2002, slog.LevelError, "configuration version rejected", "The previous version stays in force; revert the version named, or upgrade this node.")
	VersionCommitted     = declare(2003, slog.LevelInfo, "configuration version committed", "Nothing.")
	CommitUnknown        = declare(2004, slog.LevelWarn, "outcome of a commit unknown", "Query the change ID, or confirm again: confirming is idempotent.")
	TableUnavailable     = declare(2005, slog.LevelWarn, "table service unreachable", "Requests are served with the current configuration; changes are refused until it is reachable.")
	TableAvailable       = declare(2006, slog.LevelInfo, "table service reachable again", "Nothing.")
	SnapshotUnusable     = declare(2007, slog.LevelWarn, "snapshot unusable", "The previous snapshot is used; check the object store.")
	DigestMismatch       = declare(2008, slog.LevelWarn, "digest mismatch after a delta", "A snapshot is fetched; report it if it recurs.")
	RecoveryWaiting      = declare(2009, slog.LevelWarn, "startup waits for a current configuration version", "Neither the table nor enough peers are reachable; check both.")
	RecoveryDone         = declare(2010, slog.LevelInfo, "startup recovered a configuration version", "Nothing.")
	ConfigurationStale   = declare(2011, slog.LevelWarn, "node cut off from configuration updates", "It serves with its current configuration; check its network.")
	ConfigurationCurrent = declare(2012, slog.LevelInfo, "node receives configuration updates again", "Nothing.")
	DeltaRefused         = declare(2013, slog.LevelInfo, "delta does not apply to the current version", "Nothing; the node requests the missing versions.")
)

// Events of membership.
var (
	MemberJoined    = declare(3001, slog.LevelInfo, "member joined", "Nothing.")
	MemberSuspected = declare(3002, slog.LevelInfo, "member suspected", "Nothing unless it recurs for one instance.")
	MemberDead      = declare(3003, slog.LevelWarn, "member declared dead", "Replace the instance if it was not stopped on purpose.")
	MemberLeft      = declare(3004, slog.LevelInfo, "member left", "Nothing.")
	SelfRefuted     = declare(3005, slog.LevelWarn, "this node refuted a suspicion", "Look for pauses or packet loss on this instance if it recurs.")
	DomainLost      = declare(3006, slog.LevelError, "failure domain unreachable", "Check the domain's power and network; its targets receive no requests until it is reachable.")
	DomainRecovered = declare(3007, slog.LevelInfo, "failure domain reachable again", "Nothing.")
)

// Events of targets, connections and requests.
var (
	TargetAnnounced  = declare(4001, slog.LevelInfo, "target registered", "Nothing.")
	TargetDraining   = declare(4002, slog.LevelInfo, "target draining", "Nothing; its requests in flight finish.")
	TargetSilent     = declare(4003, slog.LevelWarn, "target heartbeat missing", "Check the target; it receives no new requests.")
	OutcomeUnknown   = declare(4004, slog.LevelWarn, "outcome of a request unknown", "The caller was notified; look up the request by its ID at the target.")
	ClaimNotRecorded = declare(4006, slog.LevelWarn, "outcome of a claimed key not recorded", "Nothing; a retry with that key is answered that the outcome is unknown.")
	RunStarted       = declare(4007, slog.LevelInfo, "run started at the test target", "Nothing; the line keeps the record of the run if the process is killed.")
	ConnectionSilent = declare(4005, slog.LevelWarn, "connection timed out", "Nothing; it was replaced and its requests resolved.")
)

// Events of requests on nodes that read their configuration from the platform.
var (
	RequestRefused  = declare(4101, slog.LevelInfo, "request refused, not run", "The reason names the limit; the caller received a time to retry after.")
	QuotaExceeded   = declare(4120, slog.LevelInfo, "request over the quota of its workspace, not run", "Nothing; the caller received a time to retry after. Raise rate_per_s or burst of the workspace if it is too low.")
	RequestLost     = declare(4102, slog.LevelWarn, "no complete answer to a request, may have run", "Look for the request in the log of its target's node.")
	RefusalUnproven = declare(4126, slog.LevelWarn, "target refused a request without stating that it has not run", "Look for the request at the target; its release may not state which of the requests that it refuses have not run.")
	RequestExpired  = declare(4103, slog.LevelInfo, "request deadline exceeded", "If it was sent, check the target's processing times.")
)

// Events of API keys.
var (
	KeyRefused = declare(4301, slog.LevelInfo, "request refused for its API key", "With status 401 the caller needs a valid key, whose fingerprint is that of the line; with 503 the node could not prove that its configuration is the newest.")
)

// Events of requests that were running when targets crashed.
var (
	TargetCrashed      = declare(4107, slog.LevelWarn, "target crashed while running requests", "Look for a request that ran at several crashes: their lines have the same content.")
	RequestSuspected   = declare(4108, slog.LevelInfo, "request suspected of crashing targets, isolated", "Nothing yet; an answer clears it, another crash quarantines it.")
	RequestQuarantined = declare(4109, slog.LevelWarn, "request suspected of crashing targets, quarantined", "Find the request by its content in the lines of event 4107 and fix the target; it is refused and tried again after the time given.")
	BackupRead         = declare(4110, slog.LevelInfo, "quarantine restored from backup", "Nothing.")
	TargetLimitChanged = declare(4112, slog.LevelInfo, "target's limit changed", "Nothing; requests beyond the limit go to other targets or are refused.")
	TargetLimitRefused = declare(4113, slog.LevelWarn, "target's limit unreadable, the previous one stays", "Correct what the target names as its limit.")
	BackupError        = declare(4111, slog.LevelWarn, "quarantine backup not read or written", "Nothing; it is retried. A fleet restarted before it succeeds loses the quarantine.")
)

// Events of roll-outs.
var (
	RolloutOrdered       = declare(4201, slog.LevelInfo, "roll-out ordered", "Nothing; a small share of the service's requests tries the new version.")
	RolloutOrderRefused  = declare(4202, slog.LevelWarn, "order of a roll-out unreadable, the last one stays", "Correct the order's row in the store.")
	RolloutCondemned     = declare(4203, slog.LevelWarn, "new version withdrawn from traffic", "Read the reason; fix the version and order it again.")
	RolloutCleared       = declare(4204, slog.LevelInfo, "new version found good, traffic moves to it", "Nothing.")
	RolloutStatusWritten = declare(4205, slog.LevelInfo, "status of a roll-out written", "Nothing.")
	RolloutStatusError   = declare(4206, slog.LevelWarn, "status of a roll-out not read or written", "Nothing while the store is unreachable; it is retried, also by other nodes.")
)

// Events of the platform's store and of the member rows in it.
var (
	StoreLost              = declare(2101, slog.LevelWarn, "store unreachable from this node", "Requests are served with the current data; updates are read from other nodes.")
	StoreRegained          = declare(2102, slog.LevelInfo, "store reachable again from this node", "Nothing.")
	StoreListed            = declare(2103, slog.LevelInfo, "table read in full", "Nothing; it happens at startup and after the store compacted its history.")
	StoreEraBegan          = declare(2104, slog.LevelWarn, "store was restored from an older copy", "Check what operators wrote shortly before and write it again; nodes write their own rows again.")
	StoreEraIgnored        = declare(2105, slog.LevelInfo, "delayed answer of the store from before its restore ignored", "Nothing; the call is repeated.")
	KeysRefused            = declare(2106, slog.LevelWarn, "API keys refused, the configuration may be outdated", "Callers are told 503. Check whether the store answers any node, and whether this node reaches others.")
	KeysHonoured           = declare(2107, slog.LevelInfo, "API keys honoured again, the configuration is recent", "Nothing.")
	RowRefused             = declare(3106, slog.LevelWarn, "invalid member row ignored", "Find what else writes to the members' table.")
	UpdateRoleChanged      = declare(3108, slog.LevelInfo, "update role of this node changed", "Nothing; a follower reads from the store if it receives no updates from a node.")
	RowWrittenIndividually = declare(3109, slog.LevelInfo, "this node's row written individually", "Nothing; the node that batches rows was unreachable or did not write them.")
	BatchFailed            = declare(3110, slog.LevelWarn, "batch of member rows not written", "Nothing while the store is unreachable; each node writes its own row.")
	ReportRefused          = declare(3107, slog.LevelWarn, "report refused, not from a target", "Find what else calls the node's target port.")
	NodeReachable          = declare(3104, slog.LevelInfo, "node answers again", "Nothing.")
	NodeSilent             = declare(3111, slog.LevelWarn, "node excluded, it answers neither requests nor probes", "Find out whether its machine is suspended or overloaded; it is used again once it answers.")
	RowRemoved             = declare(3105, slog.LevelWarn, "row of an unreachable node removed", "Nothing; a node that is alive writes its row again.")
	FleetChanged           = declare(3101, slog.LevelInfo, "fleet members changed", "Nothing.")
	RequestLate            = declare(4105, slog.LevelInfo, "answer later than its objective", "last_sending minus slot_wait and at_target is the time between the nodes.")
	TargetExcluded         = declare(4106, slog.LevelInfo, "target temporarily excluded", "The reason is that of its node; it is retried automatically.")
	TargetChanged          = declare(4104, slog.LevelInfo, "state of the target changed", "Nothing.")
	HeartbeatIgnored       = declare(4121, slog.LevelInfo, "heartbeat of the target ignored", "Nothing; it was delayed on its way if the reason is departed. If outdated recurs, look for two targets that report to this node.")
	DepartureReported      = declare(4122, slog.LevelInfo, "target reported its departure", "Nothing; it receives no new requests, and 4104 follows if it was the current one.")
	TargetVerified         = declare(4125, slog.LevelInfo, "target answered whether it accepts requests", "Nothing; it is asked after a restart of the node while it isn't known which targets have left. If it says that it doesn't accept any, it is not used until the store can be read.")
	DeparturesLoaded       = declare(3112, slog.LevelInfo, "departures of earlier processes read", "Nothing; if complete is false, the store was restored from a copy, and a target is used once it answers that it accepts requests (4125).")
	DeparturesAdvised      = declare(3115, slog.LevelInfo, "other nodes asked for departures, the store did not answer", "Nothing; departures is the number that they kept.")
	DepartureRecorded      = declare(3113, slog.LevelInfo, "departure recorded in the store", "Nothing; it is acknowledged now.")
	DeparturesUnrecorded   = declare(3114, slog.LevelWarn, "departures could not be read or recorded", "Nothing; it is retried. Departures of the target are not acknowledged until then, and it receives no requests. After a restart a target is used once it answers that it accepts requests (4125).")
	ClientsRefused         = declare(4130, slog.LevelWarn, "clients refused or closed, they take more than the machine has for them", "Look for clients that hold many connections, or stop before the end of their requests. The counters client_* have the totals; the settings machine and clients hold the limits.")
	TransfersEnded         = declare(4131, slog.LevelWarn, "slow clients ended, others waited for their target", "Look for clients that stop within a body, or don't read their answers; the settings clients.bodyRate, bodyPause and answerPause hold the limits.")
	FrameInvalid           = declare(4123, slog.LevelWarn, "connection from another node closed, invalid frame", "Find out which program sends to the inbound port, or which release the other node is of.")
	Announced              = declare(3102, slog.LevelInfo, "this node's row written or removed", "Nothing.")
	AnnounceError          = declare(3103, slog.LevelWarn, "this node's row could not be written", "Nothing; it is retried. Other nodes may not discover this node until then.")
)

// Events of violated invariants; each is a bug in the program.
var (
	InvariantBroken = declare(9001, slog.LevelError, "invariant violated", "Report it with the complete line.")
)
