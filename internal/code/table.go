package code

import "net/http"

// The result codes; table and docs/RESULT-CODES.md describe each.
const (
	OK Code = 0

	BadJSON            Code = 1001
	BodyTooLarge       Code = 1002
	SlowSender         Code = 1003
	HeaderTooLarge     Code = 1004
	UnknownModel       Code = 1005
	UnknownVersion     Code = 1006
	UnknownService     Code = 1007
	UnknownOperation   Code = 1008
	BadDeadline        Code = 1009
	DeadlinePassed     Code = 1010
	MissingKey         Code = 1011
	BadKey             Code = 1012
	KeyReused          Code = 1013
	KeyTooOld          Code = 1014
	BadField           Code = 1015
	UnknownClass       Code = 1016
	UnknownPath        Code = 1017
	CallerGone         Code = 1018
	UnsupportedFeature Code = 1019
	UnknownAPIKey      Code = 1020

	QueueFull          Code = 2001
	DeadlineInfeasible Code = 2002
	CallerOverShare    Code = 2003
	HotKey             Code = 2004
	ShedForPriority    Code = 2005
	RetryBudgetSpent   Code = 2006
	CommitLogBudget    Code = 2007
	EndpointsLimited   Code = 2008
	BodyBudgetSpent    Code = 2009

	NoEndpoint           Code = 3001
	EndpointFailed       Code = 3002
	EndpointCut          Code = 3003
	EndpointRefused      Code = 3004
	Poison               Code = 3005
	BadAnswer            Code = 3006
	DeadlineMissed       Code = 3007
	WrongRole            Code = 3008
	StaleFence           Code = 3009
	Quarantined          Code = 3010
	EndpointLeft         Code = 3011
	StreamVersionGone    Code = 3012
	StreamVersionUnknown Code = 3013
	StreamVersionUnread  Code = 3014
	EndpointSilent       Code = 3015

	CommitUnknown   Code = 4001
	CommitRunning   Code = 4002
	CommitLogDown   Code = 4003
	CommitAbandoned Code = 4004
	CommitNotFound  Code = 4005
	CommitReplayed  Code = 4006

	BadSettings    Code = 5001
	UnknownSetting Code = 5002
	MissingSetting Code = 5003
	DuplicateName  Code = 5004
	BadWorkspace   Code = 5005
	BadSheet       Code = 5101
	RacingPublish  Code = 5102
	PublishUnknown Code = 5103
	NotInForce     Code = 5104
	BadPatch       Code = 5105

	NotReady        Code = 6001
	Leaving         Code = 6002
	LogDown         Code = 6003
	LogLostAnswer   Code = 6004
	LogStaleRead    Code = 6005
	LogExpired      Code = 6006
	LogBadRecord    Code = 6007
	NoAuthority     Code = 6008
	PeerGone        Code = 6009
	PeerVersion     Code = 6010
	VMListDown      Code = 6011
	WeightStoreBusy Code = 6012
	ForwardLoop     Code = 6013
	BadUsage        Code = 6014
	StaleKeys       Code = 6015
	Internal        Code = 6999
)

var table = map[Code]Info{
	OK: {"ok", http.StatusOK, false, "The whole answer."},

	BadJSON:            {"bad-json", 400, false, "The body is not the JSON that the operation takes."},
	BodyTooLarge:       {"body-too-large", 413, false, "The body is longer than the limit in the settings."},
	SlowSender:         {"slow-sender", 408, true, "The request did not arrive whole within its time."},
	HeaderTooLarge:     {"header-too-large", 431, false, "The headers are longer than the limit in the settings."},
	UnknownModel:       {"unknown-model", 404, false, "The sheet in force names no such model or adapter."},
	UnknownVersion:     {"unknown-version", 404, false, "The sheet in force does not serve this version of the model."},
	UnknownService:     {"unknown-service", 404, false, "The sheet in force names no such plain service."},
	UnknownOperation:   {"unknown-operation", 404, false, "The sheet names no such operation of the service."},
	BadDeadline:        {"bad-deadline", 400, false, "The deadline is absent, not a number, zero or absurd."},
	DeadlinePassed:     {"deadline-passed", 408, false, "The deadline had passed before any work was sent."},
	MissingKey:         {"missing-key", 400, false, "A non-idempotent operation needs an idempotency key and its issue time."},
	BadKey:             {"bad-key", 400, false, "The idempotency key or its issue time is malformed."},
	KeyReused:          {"key-reused", 409, false, "The key was first used with another body."},
	KeyTooOld:          {"key-too-old", 410, false, "The key is older than the window in which repeats are recognised."},
	BadField:           {"bad-field", 400, false, "A field has a value that is not allowed."},
	UnknownClass:       {"unknown-class", 400, false, "The sheet in force names no such request class."},
	UnknownPath:        {"unknown-path", 404, false, "No such operation of the caller interface."},
	CallerGone:         {"caller-gone", 499, false, "The caller closed its connection."},
	UnsupportedFeature: {"unsupported-feature", 501, false, "The endpoint's driver lacks what the request needs."},
	UnknownAPIKey:      {"unknown-api-key", 401, false, "The configuration in force names no workspace that holds the API key, or the request bears none."},

	QueueFull:          {"queue-full", 503, true, "The queue is full; come back after the stated time."},
	DeadlineInfeasible: {"deadline-infeasible", 503, true, "At the measured rates the answer could not be on time."},
	CallerOverShare:    {"caller-over-share", 429, true, "The caller or workspace is over its fair share."},
	HotKey:             {"hot-key", 429, true, "Too many requests for one key at once."},
	ShedForPriority:    {"shed-for-priority", 503, true, "Dropped from the queue for work of higher priority."},
	RetryBudgetSpent:   {"retry-budget-spent", 503, true, "An endpoint failed and the retry budget is spent."},
	EndpointsLimited:   {"endpoints-limited", 503, true, "The endpoints have named limits that leave no room for the request now."},
	BodyBudgetSpent:    {"body-budget-spent", 503, true, "The VM's memory for bodies of requests and answers is spent for now, or the share of it of the route, the workspace or the endpoints."},
	CommitLogBudget:    {"commit-log-budget", 503, true, "The append budget of the log is spent for now."},

	NoEndpoint:           {"no-endpoint", 503, true, "No endpoint of the pool takes work now."},
	EndpointFailed:       {"endpoint-failed", 502, true, "The endpoint answered with an error of its own."},
	EndpointCut:          {"endpoint-cut", 502, true, "The connection to the endpoint broke before the answer was whole."},
	EndpointRefused:      {"endpoint-refused", 503, true, "The endpoint refused the work without running it."},
	EndpointLeft:         {"endpoint-left", 503, true, "The endpoint left before the request was sent to it."},
	EndpointSilent:       {"endpoint-silent", 503, true, "The engine that was to replace a silent one is silent, too; the request wasn't sent to it."},
	StreamVersionGone:    {"stream-version-gone", 503, false, "No endpoint of the software version that began the stream takes work; the stream can't go on."},
	StreamVersionUnknown: {"stream-version-unknown", 503, false, "The software version that began the stream isn't known and there are several; the stream can't go on."},
	StreamVersionUnread:  {"stream-version-unread", 503, true, "The record of the software versions at which streams began can't be read for now."},
	Poison:               {"poison", 422, false, "The request crashed the endpoints that ran it and is given up."},
	BadAnswer:            {"bad-answer", 502, true, "The endpoint's answer failed its check."},
	DeadlineMissed:       {"deadline-missed", 504, false, "The deadline passed while the work ran."},
	WrongRole:            {"wrong-role", 503, true, "The engine is not in the role the work needs."},
	Quarantined:          {"quarantined", 503, true, "Endpoints broke off while they ran this request, or others with a part of its prompt; it is not run for a while."},
	StaleFence:           {"stale-fence", 409, false, "The engine refused an order with an old fencing token."},

	CommitUnknown:   {"commit-unknown", 409, false, "The commit may have run; it will not be dispatched again."},
	CommitRunning:   {"commit-running", 409, true, "The first use of this key is still running."},
	CommitLogDown:   {"commit-log-down", 503, true, "The log service is down; the commit was not run."},
	CommitAbandoned: {"commit-abandoned", 503, true, "The commit was given up before dispatch and can't run."},
	CommitNotFound:  {"commit-not-found", 404, false, "No commit with this key within the window."},
	CommitReplayed:  {"commit-replayed", 200, false, "The recorded outcome of the first use of this key."},

	BadSettings:    {"bad-settings", 400, false, "The settings file can't be read or has a wrong value."},
	UnknownSetting: {"unknown-setting", 400, false, "The settings file has a key that no module takes."},
	MissingSetting: {"missing-setting", 400, false, "A required key is absent from the settings."},
	DuplicateName:  {"duplicate-name", 400, false, "A name that must be unique stands twice."},
	BadWorkspace:   {"bad-workspace", 400, false, "A workspace has no name, or a key that is empty, can't be sent or is another's."},
	BadSheet:       {"bad-sheet", 400, false, "The sheet is not valid; every reason is listed."},
	RacingPublish:  {"racing-publish", 409, true, "Another publish replaced the base version first."},
	PublishUnknown: {"publish-unknown", 504, true, "The log's answer was lost; `fescuectl status` shows the verdict."},
	NotInForce:     {"not-in-force", 504, true, "The sheet is accepted but not yet in force on every live VM."},
	BadPatch:       {"bad-patch", 400, false, "The patch does not apply to its base version."},

	NotReady:        {"not-ready", 503, true, "The process has no accepted sheet yet."},
	Leaving:         {"leaving", 503, true, "The VM is leaving; use another address."},
	LogDown:         {"log-down", 503, true, "The log service does not answer."},
	LogLostAnswer:   {"log-lost-answer", 504, true, "The log's answer was lost; the append may have taken effect."},
	LogStaleRead:    {"log-stale-read", 503, true, "The log returned an older state than was already read; it is ignored."},
	LogExpired:      {"log-expired", 410, false, "The wanted offset has expired; the newest checkpoint is used."},
	LogBadRecord:    {"log-bad-record", 500, false, "A log record can't be decoded; it is skipped."},
	NoAuthority:     {"no-authority", 403, false, "The lease for the engine is not held."},
	PeerGone:        {"peer-gone", 502, true, "The peer's connection broke."},
	PeerVersion:     {"peer-version", 505, false, "The peer speaks an incompatible protocol version."},
	VMListDown:      {"vm-list-down", 503, true, "The VM list does not answer; the last one is used."},
	WeightStoreBusy: {"weight-store-busy", 503, true, "The weight store's rate limit is reached."},
	ForwardLoop:     {"forward-loop", 508, false, "The request was already passed on once."},
	BadUsage:        {"bad-usage", 400, false, "The command line is wrong."},
	StaleKeys:       {"stale-keys", 503, true, "The VM can't tell whether the API key is still valid: it has had no word of the store for too long."},
	Internal:        {"internal", 500, false, "A fault of the system itself."},
}
