package mcpeer

import (
	"marigoldcroft"
	"marigoldcroft/mcmember"
)

// fieldLimit holds the limits of one message field: the size in bytes for strings and bytes,
// the value for numbers and the number of elements for repeated fields.
type fieldLimit struct {
	minSize, maxSize int
	maxValue         float64
	maxCount         int
}

const (
	maxName        = 64
	maxAddress     = 256
	maxInstances   = 1024
	maxEndpoints   = 1024
	maxDataCentres = 64
	// maxVersion limits versions, which count tenths of a second since 1970. It is reached
	// in the year 5454.
	maxVersion = 1 << 40
	// maxRevision limits counters that grow in steps of one.
	maxRevision = 1 << 53
	maxUnixMs   = 1 << 47
	// maxColdLeftMs is an hour; cold phases last for seconds.
	maxColdLeftMs = 3_600_000
	maxTokens     = 1 << 40
	// maxKiTokens limits token counts in units of 1,024 tokens.
	maxKiTokens     = 1 << 30
	maxRequests     = 1 << 20
	maxTeams        = 64
	maxBuckets      = 32
	maxRecordHashes = 1000

	defaultMaxStringSize = 4 << 10
	defaultMaxBytesSize  = 1 << 20
	defaultMaxCount      = 1 << 10
)

func byteSize(minimum, maximum int) fieldLimit { return fieldLimit{minSize: minimum, maxSize: maximum} }

func maxNumber(maximum float64) fieldLimit { return fieldLimit{maxValue: maximum} }

// maxNumbers limits a repeated field to count numbers of at most maximum each.
func maxNumbers(count int, maximum float64) fieldLimit {
	return fieldLimit{maxCount: count, maxValue: maximum}
}

func elements(count int) fieldLimit { return fieldLimit{maxCount: count} }

// anyNumber allows all values, as hashes and random numbers need.
var anyNumber = fieldLimit{}

// fieldLimits holds the limits of the fields of member.proto, and of fields of other services
// whose limits differ from the defaults. Booleans, enums and fields with a single message
// need no entry.
var fieldLimits = map[string]fieldLimit{
	"Sender.deployment":  byteSize(1, maxName),
	"Sender.data_centre": byteSize(1, maxName),
	"Sender.instance":    byteSize(1, maxName),
	"Sender.incarnation": anyNumber,

	"MemberRecord.instance":           byteSize(1, maxName),
	"MemberRecord.data_centre":        byteSize(1, maxName),
	"MemberRecord.region":             byteSize(0, maxName),
	"MemberRecord.peer_address":       byteSize(1, maxAddress),
	"MemberRecord.admin_address":      byteSize(0, maxAddress),
	"MemberRecord.incarnation":        anyNumber,
	"MemberRecord.sequence":           maxNumber(maxVersion),
	"MemberRecord.config_revision":    maxNumber(maxRevision),
	"MemberRecord.config_newest_seen": maxNumber(maxRevision),
	"MemberRecord.version":            maxNumber(maxVersion),
	"MemberRecord.gone_sequence":      maxNumber(maxVersion),
	"MemberRecord.interval_ms":        maxNumber(60_000),

	"EndpointState.endpoint":             byteSize(1, maxName),
	"EndpointState.endpoint_incarnation": anyNumber,
	"EndpointState.version":              maxNumber(maxVersion),
	"EndpointState.kv_capacity_tokens":   maxNumber(maxTokens),
	"EndpointState.load_version":         maxNumber(maxUnixMs),
	"EndpointState.down_version":         maxNumber(maxUnixMs),

	"EndpointMark.endpoint":             byteSize(1, maxName),
	"EndpointMark.endpoint_incarnation": anyNumber,
	"EndpointMark.version":              maxNumber(maxVersion),
	"EndpointMark.marked_unix_ms":       maxNumber(maxUnixMs),

	"QuarantineEntry.fingerprint":     anyNumber,
	"QuarantineEntry.crashes":         maxNumber(maxRequests),
	"QuarantineEntry.version":         maxNumber(maxVersion),
	"QuarantineEntry.expires_unix_ms": maxNumber(maxUnixMs),

	"EndpointLimit.endpoint":           byteSize(1, maxName),
	"EndpointLimit.version":            maxNumber(maxUnixMs),
	"EndpointLimit.per_second":         maxNumber(marigoldcroft.MaxRequestsPerSecond),
	"EndpointLimit.cold_per_second":    maxNumber(marigoldcroft.MaxRequestsPerSecond),
	"EndpointLimit.cold_until_unix_ms": maxNumber(maxUnixMs),

	"Evacuation.data_centre":   byteSize(1, maxName),
	"Evacuation.era":           maxNumber(maxRevision),
	"Evacuation.revision":      maxNumber(maxRevision),
	"Evacuation.since_unix_ms": maxNumber(maxUnixMs),

	"MemberSummary.instance":        byteSize(1, maxName),
	"MemberSummary.data_centre":     byteSize(1, maxName),
	"MemberSummary.region":          byteSize(0, maxName),
	"MemberSummary.peer_address":    byteSize(1, maxAddress),
	"MemberSummary.admin_address":   byteSize(0, maxAddress),
	"MemberSummary.incarnation":     anyNumber,
	"MemberSummary.sequence":        maxNumber(maxVersion),
	"MemberSummary.config_revision": maxNumber(maxRevision),

	"TeamUse.team":              anyNumber,
	"TeamUse.tokens_per_second": maxNumber(1e12),
	"TeamUse.concurrency":       maxNumber(maxRequests * maxInstances),
	"TeamUse.share":             maxNumber(maxInstances),

	"DataCentreUsage.data_centre": byteSize(1, maxName),
	"DataCentreUsage.teams":       elements(maxTeams),
	"DataCentreUsage.version":     maxNumber(maxVersion),

	"Records.members":     elements(maxInstances),
	"Records.endpoints":   elements(maxEndpoints),
	"Records.marks":       elements(maxEndpoints),
	"Records.quarantine":  elements(maxEndpoints),
	"Records.summaries":   elements(maxInstances),
	"Records.usage":       elements(maxDataCentres),
	"Records.limits":      elements(maxEndpoints),
	"Records.evacuations": elements(mcmember.MaxEvacuations),

	"Vector.roster":         anyNumber,
	"Vector.member_keys":    elements(maxInstances),
	"Vector.endpoint_keys":  elements(maxEndpoints),
	"Vector.member_base":    maxNumber(maxVersion),
	"Vector.sequence_lags":  maxNumbers(maxInstances, maxVersion+1),
	"Vector.in_flight_lags": maxNumbers(maxInstances, maxVersion+1),
	"Vector.usage_lags":     maxNumbers(maxInstances, maxVersion+1),
	"Vector.centre_keys":    elements(maxDataCentres),
	"Vector.centre_base":    maxNumber(maxVersion),
	"Vector.centre_lags":    maxNumbers(maxDataCentres, maxVersion+1),
	"Vector.load_base":      maxNumber(maxUnixMs),
	"Vector.load_lags":      maxNumbers(maxEndpoints, maxUnixMs+1),

	"Loads.index":      maxNumbers(maxEndpoints, maxEndpoints-1),
	"Loads.version":    maxNumbers(maxEndpoints, maxUnixMs),
	"Loads.age_ms":     maxNumbers(maxEndpoints, 3_600_000),
	"Loads.running":    maxNumbers(maxEndpoints, maxRequests),
	"Loads.waiting":    maxNumbers(maxEndpoints, maxRequests),
	"Loads.prefill_ki": maxNumbers(maxEndpoints, maxKiTokens),
	"Loads.kv_used_ki": maxNumbers(maxEndpoints, maxKiTokens),

	"InFlight.member":         maxNumber(maxInstances - 1),
	"InFlight.version":        maxNumber(maxVersion),
	"InFlight.endpoint":       maxNumbers(maxEndpoints, maxEndpoints-1),
	"InFlight.short_requests": maxNumbers(maxEndpoints, maxRequests),
	"InFlight.long_requests":  maxNumbers(maxEndpoints, maxRequests),
	"InFlight.prefill_ki":     maxNumbers(maxEndpoints, maxKiTokens),
	"InFlight.kv_ki":          maxNumbers(maxEndpoints, maxKiTokens),

	"MemberUsage.member":  maxNumber(maxInstances - 1),
	"MemberUsage.version": maxNumber(maxVersion),
	"MemberUsage.teams":   elements(maxTeams),

	"Updates.heartbeat_index": maxNumbers(maxInstances, maxInstances-1),
	"Updates.heartbeat":       maxNumbers(maxInstances, maxVersion),
	"Updates.in_flight":       elements(maxInstances),
	"Updates.usage":           elements(maxInstances),

	"ExchangeRequest.bucket_hashes":      elements(maxBuckets),
	"ExchangeRequest.records_hash":       anyNumber,
	"ExchangeRequest.full_buckets":       maxNumbers(maxBuckets, maxBuckets-1),
	"ExchangeRequest.stamps":             elements(maxRecordHashes),
	"ExchangeRequest.config_revision":    maxNumber(maxRevision),
	"ExchangeRequest.max_response_bytes": maxNumber(mcmember.MaxMessageBytes),

	"ExchangeResponse.roster":          anyNumber,
	"ExchangeResponse.unequal_buckets": maxNumbers(maxBuckets, maxBuckets-1),
	"ExchangeResponse.config_revision": maxNumber(maxRevision),
	"ExchangeResponse.held_sequence":   maxNumber(maxVersion),
	"ExchangeResponse.copies":          elements(mcmember.MaxCopies),

	"CopyState.records":  byteSize(1, maxName),
	"CopyState.digest":   anyNumber,
	"CopyState.age_ms":   maxNumber(maxUnixMs),
	"CopyState.era":      maxNumber(maxRevision),
	"CopyState.revision": maxNumber(maxRevision),

	"FetchRecordsRequest.deployment":       byteSize(1, maxName),
	"FetchRecordsRequest.records":          byteSize(1, maxName),
	"FetchRecordsResponse.records":         byteSize(0, defaultMaxBytesSize),
	"FetchRecordsRequest.since_era":        maxNumber(maxRevision),
	"FetchRecordsRequest.since_revision":   maxNumber(maxRevision),
	"FetchRecordsResponse.era":             maxNumber(maxRevision),
	"FetchRecordsResponse.revision":        maxNumber(maxRevision),
	"FetchRecordsResponse.age_ms":          maxNumber(maxUnixMs),
	"FetchRecordsResponse.outage_ms":       maxNumber(maxUnixMs),
	"FetchRecordsResponse.outage_ended_ms": maxNumber(maxUnixMs),

	"ProbeRequest.target_instance": byteSize(1, maxName),
	"ProbeRequest.target_address":  byteSize(0, maxAddress),

	"RelayRequest.position":             maxNumber(maxRevision),
	"RelayRequest.position_incarnation": anyNumber,
	"RelayRequest.config_revision":      maxNumber(maxRevision),

	"RelayResponse.position":        maxNumber(maxRevision),
	"RelayResponse.config_revision": maxNumber(maxRevision),

	"AcquireRequest.deployment":      byteSize(1, maxName),
	"AcquireRequest.instance":        byteSize(1, maxName),
	"AcquireRequest.cold_per_second": maxNumber(marigoldcroft.MaxRequestsPerSecond),
	"AcquireRequest.cold_left_ms":    maxNumber(maxColdLeftMs),
	"AcquireResponse.wait_ms":        maxNumber(60_000),

	"ListEvacuationsRequest.deployment":   byteSize(1, maxName),
	"ListEvacuationsResponse.evacuations": elements(mcmember.MaxEvacuations),
	"ListEvacuationsResponse.age_ms":      maxNumber(maxUnixMs),

	"JoinRequest.deployment":         byteSize(1, maxName),
	"JoinRequest.team":               byteSize(1, maxName),
	"JoinRequest.template":           byteSize(0, maxName),
	"JoinRequest.body":               byteSize(0, 64<<20),
	"LedgerBeginRequest.deployment":  byteSize(1, maxName),
	"LedgerBeginRequest.body_hash":   byteSize(0, maxName),
	"LedgerFinishRequest.deployment": byteSize(1, maxName),
	"LedgerAttempt.team":             byteSize(1, maxName),
	"LedgerAttempt.service":          byteSize(1, maxName),
	"LedgerAttempt.key":              byteSize(1, maxName),
	"LedgerAttempt.executor":         byteSize(0, maxName),
	"LedgerOutcome.status":           maxNumber(599),
	"LedgerOutcome.body":             byteSize(0, 16<<10),
	"FetchHeadRequest.deployment":    byteSize(1, maxName),
	"FetchPageRequest.deployment":    byteSize(1, maxName),
	"FetchPageRequest.page":          maxNumber(255),
}

// equalLengthFields lists, for each message type, the repeated fields that must have the same
// number of elements because together they form a table, one column in each field.
var equalLengthFields = map[string][]string{
	"Loads":    {"index", "version", "age_ms", "running", "waiting", "prefill_ki", "kv_used_ki"},
	"InFlight": {"endpoint", "short_requests", "long_requests", "prefill_ki", "kv_ki"},
	"Updates":  {"heartbeat_index", "heartbeat"},
	"Vector":   {"sequence_lags", "in_flight_lags", "usage_lags"},
}

// requiredFields lists, for each message type, the fields with a message that must be set.
var requiredFields = map[string][]string{
	"ExchangeRequest":  {"sender", "vector"},
	"ExchangeResponse": {"sender"},
	"ProbeRequest":     {"sender"},
	"ProbeResponse":    {"sender"},
	"RelayRequest":     {"sender"},
	"RelayResponse":    {"sender"},
	"AcquireRequest":   {"limit"},
	"AcquireResponse":  {"limit"},
}
