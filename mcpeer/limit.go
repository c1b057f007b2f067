package mcpeer

import (
	"marigoldcroft/mcmember"
)

// limit holds the limits of one message field: the size in bytes for strings and bytes, the
// value for numbers and the number of elements for repeated fields.
type limit struct {
	minSize, maxSize int
	maxValue         float64
	maxCount         int
}

const (
	maxName      = 64
	maxAddress   = 256
	maxInstances = 1024
	maxEndpoints = 1024
	maxCentres   = 64
	// maxVersion limits versions, which count tenths of a second since 1970. It is reached
	// in the year 5454.
	maxVersion = 1 << 40
	// maxRevision limits counters that grow in steps of one.
	maxRevision = 1 << 53
	maxUnixMs   = 1 << 47
	maxTokens   = 1 << 40
	// maxKibi limits token counts in units of 1,024 tokens.
	maxKibi     = 1 << 30
	maxRequests = 1 << 20
	maxTeams    = 64
	maxBuckets  = 32
	maxStamps   = 1000

	defaultMaxText  = 4 << 10
	defaultMaxBytes = 1 << 20
	defaultMaxCount = 1 << 10
)

func text(minimum, maximum int) limit { return limit{minSize: minimum, maxSize: maximum} }

func number(maximum float64) limit { return limit{maxValue: maximum} }

func numbers(count int, maximum float64) limit { return limit{maxCount: count, maxValue: maximum} }

func list(count int) limit { return limit{maxCount: count} }

// anyNumber allows all values, as hashes and random numbers need.
var anyNumber = limit{}

// fieldLimits holds the limits of the fields of member.proto, and of fields of other services
// whose limits differ from the defaults. Booleans, enums and fields with a single message
// need no entry.
var fieldLimits = map[string]limit{
	"Sender.deployment":  text(1, maxName),
	"Sender.data_centre": text(1, maxName),
	"Sender.instance":    text(1, maxName),
	"Sender.incarnation": anyNumber,

	"MemberRecord.instance":           text(1, maxName),
	"MemberRecord.data_centre":        text(1, maxName),
	"MemberRecord.region":             text(0, maxName),
	"MemberRecord.peer_address":       text(1, maxAddress),
	"MemberRecord.admin_address":      text(0, maxAddress),
	"MemberRecord.incarnation":        anyNumber,
	"MemberRecord.sequence":           number(maxVersion),
	"MemberRecord.config_revision":    number(maxRevision),
	"MemberRecord.config_newest_seen": number(maxRevision),
	"MemberRecord.version":            number(maxVersion),
	"MemberRecord.gone_sequence":      number(maxVersion),
	"MemberRecord.interval_ms":        number(60_000),

	"EndpointState.endpoint":             text(1, maxName),
	"EndpointState.endpoint_incarnation": anyNumber,
	"EndpointState.version":              number(maxVersion),
	"EndpointState.kv_capacity_tokens":   number(maxTokens),
	"EndpointState.load_version":         number(maxUnixMs),
	"EndpointState.down_version":         number(maxUnixMs),

	"EndpointMark.endpoint":             text(1, maxName),
	"EndpointMark.endpoint_incarnation": anyNumber,
	"EndpointMark.version":              number(maxVersion),
	"EndpointMark.marked_unix_ms":       number(maxUnixMs),

	"QuarantineEntry.fingerprint":     anyNumber,
	"QuarantineEntry.crashes":         number(maxRequests),
	"QuarantineEntry.version":         number(maxVersion),
	"QuarantineEntry.expires_unix_ms": number(maxUnixMs),

	"MemberSummary.instance":        text(1, maxName),
	"MemberSummary.data_centre":     text(1, maxName),
	"MemberSummary.region":          text(0, maxName),
	"MemberSummary.peer_address":    text(1, maxAddress),
	"MemberSummary.admin_address":   text(0, maxAddress),
	"MemberSummary.incarnation":     anyNumber,
	"MemberSummary.sequence":        number(maxVersion),
	"MemberSummary.config_revision": number(maxRevision),

	"TeamUse.team":              anyNumber,
	"TeamUse.tokens_per_second": number(1e12),
	"TeamUse.concurrency":       number(maxRequests * maxInstances),
	"TeamUse.share":             number(maxInstances),

	"DataCentreUsage.data_centre": text(1, maxName),
	"DataCentreUsage.teams":       list(maxTeams),
	"DataCentreUsage.version":     number(maxVersion),

	"Records.members":    list(maxInstances),
	"Records.endpoints":  list(maxEndpoints),
	"Records.marks":      list(maxEndpoints),
	"Records.quarantine": list(maxEndpoints),
	"Records.summaries":  list(maxInstances),
	"Records.usage":      list(maxCentres),

	"Vector.roster":         anyNumber,
	"Vector.member_keys":    list(maxInstances),
	"Vector.endpoint_keys":  list(maxEndpoints),
	"Vector.member_base":    number(maxVersion),
	"Vector.sequence_lags":  numbers(maxInstances, maxVersion+1),
	"Vector.in_flight_lags": numbers(maxInstances, maxVersion+1),
	"Vector.usage_lags":     numbers(maxInstances, maxVersion+1),
	"Vector.centre_keys":    list(maxCentres),
	"Vector.centre_base":    number(maxVersion),
	"Vector.centre_lags":    numbers(maxCentres, maxVersion+1),
	"Vector.load_base":      number(maxUnixMs),
	"Vector.load_lags":      numbers(maxEndpoints, maxUnixMs+1),

	"Loads.index":      numbers(maxEndpoints, maxEndpoints-1),
	"Loads.version":    numbers(maxEndpoints, maxUnixMs),
	"Loads.age_ms":     numbers(maxEndpoints, 3_600_000),
	"Loads.running":    numbers(maxEndpoints, maxRequests),
	"Loads.waiting":    numbers(maxEndpoints, maxRequests),
	"Loads.prefill_ki": numbers(maxEndpoints, maxKibi),
	"Loads.kv_used_ki": numbers(maxEndpoints, maxKibi),

	"InFlight.member":         number(maxInstances - 1),
	"InFlight.version":        number(maxVersion),
	"InFlight.endpoint":       numbers(maxEndpoints, maxEndpoints-1),
	"InFlight.short_requests": numbers(maxEndpoints, maxRequests),
	"InFlight.long_requests":  numbers(maxEndpoints, maxRequests),
	"InFlight.prefill_ki":     numbers(maxEndpoints, maxKibi),
	"InFlight.kv_ki":          numbers(maxEndpoints, maxKibi),

	"MemberUsage.member":  number(maxInstances - 1),
	"MemberUsage.version": number(maxVersion),
	"MemberUsage.teams":   list(maxTeams),

	"Updates.heartbeat_index": numbers(maxInstances, maxInstances-1),
	"Updates.heartbeat":       numbers(maxInstances, maxVersion),
	"Updates.in_flight":       list(maxInstances),
	"Updates.usage":           list(maxInstances),

	"ExchangeRequest.bucket_hashes":      list(maxBuckets),
	"ExchangeRequest.records_hash":       anyNumber,
	"ExchangeRequest.full_buckets":       numbers(maxBuckets, maxBuckets-1),
	"ExchangeRequest.stamps":             list(maxStamps),
	"ExchangeRequest.config_revision":    number(maxRevision),
	"ExchangeRequest.max_response_bytes": number(mcmember.MaxMessageBytes),

	"ExchangeResponse.roster":          anyNumber,
	"ExchangeResponse.unequal_buckets": numbers(maxBuckets, maxBuckets-1),
	"ExchangeResponse.config_revision": number(maxRevision),
	"ExchangeResponse.held_sequence":   number(maxVersion),
	"ExchangeResponse.copies":          list(mcmember.MaxCopies),

	"CopyState.records": text(1, maxName),
	"CopyState.digest":  anyNumber,
	"CopyState.age_ms":  number(maxUnixMs),

	"ProbeRequest.target_instance": text(1, maxName),
	"ProbeRequest.target_address":  text(0, maxAddress),

	"RelayRequest.position":             number(maxRevision),
	"RelayRequest.position_incarnation": anyNumber,
	"RelayRequest.config_revision":      number(maxRevision),

	"RelayResponse.position":        number(maxRevision),
	"RelayResponse.config_revision": number(maxRevision),

	"JoinRequest.deployment":         text(1, maxName),
	"JoinRequest.team":               text(1, maxName),
	"JoinRequest.template":           text(0, maxName),
	"JoinRequest.body":               text(0, 64<<20),
	"LedgerBeginRequest.deployment":  text(1, maxName),
	"LedgerBeginRequest.body_hash":   text(0, maxName),
	"LedgerFinishRequest.deployment": text(1, maxName),
	"LedgerAttempt.team":             text(1, maxName),
	"LedgerAttempt.service":          text(1, maxName),
	"LedgerAttempt.key":              text(1, maxName),
	"LedgerAttempt.executor":         text(0, maxName),
	"LedgerOutcome.status":           number(599),
	"LedgerOutcome.body":             text(0, 16<<10),
	"FetchHeadRequest.deployment":    text(1, maxName),
	"FetchPageRequest.deployment":    text(1, maxName),
	"FetchPageRequest.page":          number(255),
}

// columnGroups lists, for each message type, the repeated fields that must have the same
// number of elements.
var columnGroups = map[string][]string{
	"Loads":    {"index", "version", "age_ms", "running", "waiting", "prefill_ki", "kv_used_ki"},
	"InFlight": {"endpoint", "short_requests", "long_requests", "prefill_ki", "kv_ki"},
	"Updates":  {"heartbeat_index", "heartbeat"},
	"Vector":   {"sequence_lags", "in_flight_lags", "usage_lags"},
}

// required lists, for each message type, the fields with a message that must be set.
var required = map[string][]string{
	"ExchangeRequest":  {"sender", "vector"},
	"ExchangeResponse": {"sender"},
	"ProbeRequest":     {"sender"},
	"ProbeResponse":    {"sender"},
	"RelayRequest":     {"sender"},
	"RelayResponse":    {"sender"},
}
