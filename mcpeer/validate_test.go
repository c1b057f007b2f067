package mcpeer_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"marigoldcroft"
	"marigoldcroft/mcmember"
	"marigoldcroft/mcmessage"
	"marigoldcroft/mcpeer"
)

// Guards against invalid requests that reach the service, and against errors that do not
// name the invalid field and its limit.
func TestInvalidRequestsAreRejected(t *testing.T) {
	long := strings.Repeat("x", 65)
	cases := map[string]struct {
		change func(r *mcmessage.ExchangeRequest)
		want   string
	}{
		"no sender":       {func(r *mcmessage.ExchangeRequest) { r.Sender = nil }, "field ExchangeRequest.sender is missing"},
		"no vector":       {func(r *mcmessage.ExchangeRequest) { r.Vector = nil }, "field ExchangeRequest.vector is missing"},
		"empty name":      {func(r *mcmessage.ExchangeRequest) { r.Sender.Instance = "" }, "field Sender.instance is empty, it must have at least 1 bytes"},
		"long name":       {func(r *mcmessage.ExchangeRequest) { r.Records.Members[0].Region = long }, "field MemberRecord.region has 65 bytes, the limits are 0 and 64"},
		"huge sequence":   {func(r *mcmessage.ExchangeRequest) { r.Records.Members[0].Sequence = math.MaxUint64 }, "field MemberRecord.sequence has the value"},
		"unknown state":   {func(r *mcmessage.ExchangeRequest) { r.Records.Members[0].State = 9 }, "field MemberRecord.state has the value 9, which MemberState does not define"},
		"too many hashes": {func(r *mcmessage.ExchangeRequest) { r.BucketHashes = make([]uint32, 33) }, "field ExchangeRequest.bucket_hashes has 33 elements, the limit is 32"},
		"bucket":          {func(r *mcmessage.ExchangeRequest) { r.FullBuckets = []uint32{32} }, "field ExchangeRequest.full_buckets has the value 32, the limits are 0 and 31"},
		"uneven columns": {
			func(r *mcmessage.ExchangeRequest) { r.Updates.Loads = &mcmessage.Loads{Index: []uint32{1}} },
			"field Loads.version has 0 elements, it must have as many as index: 1",
		},
		"negative time": {
			func(r *mcmessage.ExchangeRequest) {
				r.Records.Marks = []*mcmessage.EndpointMark{{Endpoint: "e", MarkedUnixMs: -1}}
			}, "field EndpointMark.marked_unix_ms has the value -1, the limits are 0",
		},
		"not a number": {
			func(r *mcmessage.ExchangeRequest) {
				r.Updates.Usage = []*mcmessage.MemberUsage{{Teams: []*mcmessage.TeamUse{{Share: float32(math.NaN())}}}}
			}, "field TeamUse.share is not a finite number",
		},
		"too large": {
			func(r *mcmessage.ExchangeRequest) { r.Stamps = make([]uint32, 1000); r.Vector.MemberKeys = r.Stamps },
			"bytes, the limit is 4096",
		},
	}
	receiver := startNode(t, identity("copo", "lima", "b"), nil, nil)
	id := identity("copo", "lima", "a")
	caller := startNode(t, id, nil, nil)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newExchangeRequest(id)
			c.change(r)
			_, err := caller.pool.Exchange(t.Context(), receiver.contact(), r)
			require.Equal(t, codes.InvalidArgument, status.Code(err), "%v", err)
			require.ErrorContains(t, err, c.want)
			require.Zero(t, receiver.member.calls.Load())
			require.Len(t, receiver.member.Members(), 1)
		})
	}
}

// Guards against a field that is added to member.proto without a limit.
func TestEveryMemberFieldHasALimit(t *testing.T) {
	messages := mcmessage.File_member_proto.Messages()
	for i := range messages.Len() {
		fields := messages.Get(i).Fields()
		for j := range fields.Len() {
			field := fields.Get(j)
			free := field.Kind() == protoreflect.MessageKind || field.Kind() == protoreflect.BoolKind || field.Kind() == protoreflect.EnumKind
			if field.IsList() || !free {
				path := fmt.Sprintf("%s.%s", messages.Get(i).Name(), field.Name())
				require.True(t, mcpeer.HasLimit(path), path)
			}
		}
	}
}

// Guards against a member whose messages are rejected by all peers because they contain an
// out-of-range value from a caller, the instance list or an endpoint.
func TestRequestsAreValidWithExtremeInput(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	long := strings.Repeat("x", 65)
	cases := map[string]func(table *mcmember.Table) error{
		"listed names": func(table *mcmember.Table) error {
			table.ApplyListing(now, marigoldcroft.InstanceListing{Endpoints: []marigoldcroft.ListedEndpoint{
				{Name: long, DataCentre: "lima", Leaving: true}, {DataCentre: "lima", Leaving: true}, {Name: "\xff", DataCentre: "lima", Leaving: true},
			}})
			return nil
		},
		"report": func(table *mcmember.Table) error {
			return table.ObservePoll(now, now, marigoldcroft.LoadReport{
				Endpoint: "e", Incarnation: math.MaxUint64, Running: math.MaxInt, Waiting: -1, Leaving: true,
				PrefillTokens: math.MaxInt64, KVUsedTokens: -1, KVCapacityTokens: math.MaxInt64,
			})
		},
		"report of the far future": func(table *mcmember.Table) error {
			return table.ObservePoll(now, now, marigoldcroft.LoadReport{Endpoint: "e", Time: now.AddDate(5000, 0, 0), Leaving: true})
		},
		"work": func(table *mcmember.Table) error {
			table.SetInFlight(now, map[string]marigoldcroft.InFlight{"e": {Short: -1, Long: math.MaxInt, PrefillTokens: math.MaxInt64, KVTokens: -1}})
			return nil
		},
		"usage": func(table *mcmember.Table) error {
			table.SetUsage(now, []mcmember.TeamUsage{{TokensPerSecond: math.NaN(), Share: math.Inf(1), Concurrency: -1}, {TokensPerSecond: math.Inf(1), Share: -1}})
			return nil
		},
		"revision": func(table *mcmember.Table) error {
			table.SetRevision(now, math.MaxUint64, math.MaxUint64)
			return nil
		},
		"quarantine": func(table *mcmember.Table) error {
			table.SetQuarantine(now, &mcmessage.QuarantineEntry{Crashes: math.MaxUint32, ExpiresUnixMs: math.MaxInt64})
			return nil
		},
		"mark": func(table *mcmember.Table) error { return table.SetLeaving(now, "e", true) },
		"evacuation": func(table *mcmember.Table) error {
			for _, e := range []*mcmessage.Evacuation{
				{DataCentre: long, Evacuated: true},
				{DataCentre: "", Evacuated: true},
				{DataCentre: "era", Evacuated: true, Era: math.MaxUint64},
				{DataCentre: "revision", Evacuated: true, Revision: math.MaxUint64},
				{DataCentre: "since", Evacuated: true, SinceUnixMs: -1},
			} {
				table.SetEvacuation(now, e)
			}
			for i := range 2 * mcmember.MaxEvacuations {
				table.SetEvacuation(now, &mcmessage.Evacuation{DataCentre: fmt.Sprint("z", i), Evacuated: true, SinceUnixMs: now.UnixMilli()})
			}
			return nil
		},
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			table := mcmember.NewTable(mcmember.Self{Identity: identity("copo", "lima", "a"), PeerAddress: "127.0.0.1:1"}, now, 1)
			table.ApplyListing(now, marigoldcroft.InstanceListing{Endpoints: []marigoldcroft.ListedEndpoint{{Name: "e", DataCentre: "lima", Address: "http://e"}}})
			require.NoError(t, table.ObservePoll(now.Add(-time.Minute), now.Add(-time.Minute), marigoldcroft.LoadReport{Endpoint: "e"}))
			require.NoError(t, act(table))
			request := table.Request(now, true).Request
			require.NoError(t, mcpeer.Validate(request))
			_, err := proto.Marshal(request)
			require.NoError(t, err)
			relay := table.RelayRequest(now, mcmember.Contact{Instance: "b"})
			require.NoError(t, mcpeer.Validate(relay))
		})
	}
	table := mcmember.NewTable(mcmember.Self{Identity: identity("copo", "lima", "a")}, now, 1)
	require.Equal(t, mcmember.KindInvalid, marigoldcroft.FailureKind[mcmember.Kind](table.SetLeaving(now, long, true)))
}

// Guards against requests that pass validation and then crash the member table, change the
// receiver's own record or make it send messages that peers reject.
func FuzzExchangeRequest(f *testing.F) {
	start := time.Unix(1_800_000_000, 0)
	receiver := mcmember.Self{Identity: identity("copo", "lima", "b"), PeerAddress: "127.0.0.1:2"}
	sender := mcmember.Self{Identity: identity("copo", "lima", "a"), PeerAddress: "127.0.0.1:1"}
	for _, keys := range []bool{false, true} {
		r := mcmember.NewTable(sender, start, 1).Request(start, true).Request
		if !keys {
			r.Vector.MemberKeys, r.Vector.EndpointKeys = nil, nil
		}
		r.Updates.Loads = &mcmessage.Loads{
			Index: []uint32{0}, Version: []int64{1}, AgeMs: []uint32{1}, Running: []uint32{1},
			Waiting: []uint32{1}, PrefillKi: []uint32{1}, KvUsedKi: []uint32{1},
		}
		r.Records.Quarantine = []*mcmessage.QuarantineEntry{{Fingerprint: 1, Version: 1, ExpiresUnixMs: start.UnixMilli() + 1}}
		encoded, err := proto.Marshal(r)
		require.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		r := &mcmessage.ExchangeRequest{}
		if proto.Unmarshal(encoded, r) != nil || mcpeer.Validate(r) != nil {
			return
		}
		table := mcmember.NewTable(receiver, start, 1)
		response := table.Serve(start, r)
		require.NoError(t, mcpeer.Validate(response))
		require.LessOrEqual(t, proto.Size(response), mcmember.MaxMessageBytes)
		for _, m := range table.Members(start) {
			if m.Instance == receiver.Identity.Instance() {
				require.Equal(t, receiver.PeerAddress, m.Address)
				require.Equal(t, mcmessage.MemberState_MEMBER_STATE_LIVE, m.State)
			}
		}
		table.Tick(start.Add(time.Second))
		require.NoError(t, mcpeer.Validate(table.Request(start.Add(time.Second), true).Request))
	})
}
