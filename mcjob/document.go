package mcjob

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// ShardCount is the number of shards. It is part of the stored layout and must not
	// change while jobs are kept.
	ShardCount = 64
	// documentFormat is the version of the job objects that this package writes. An
	// object with another version is left alone.
	documentFormat = 1
	idBytes        = 16
	// maxErrorBytes bounds the stored error text.
	maxErrorBytes = 4 << 10

	jobPrefix    = "jobs/"
	promptPrefix = "jobprompts/"
	answerPrefix = "jobanswers/"
)

var idPattern = regexp.MustCompile(`^[0-5][0-9]-[0-9a-f]{32}$|^6[0-3]-[0-9a-f]{32}$`)

type (
	// owner names the process incarnation that holds a claim.
	owner struct {
		Instance    string `json:"instance,omitempty"`
		Incarnation uint64 `json:"incarnation,omitempty"`
	}

	// chunkSet names the chunks <Name>-0 to <Name>-<Count-1> of one body. The name is
	// unique to the attempt that wrote them, so that two attempts never mix chunks.
	chunkSet struct {
		Name  string `json:"name,omitempty"`
		Count int    `json:"count,omitempty"`
	}

	// document is the content of a job object.
	document struct {
		Format           int                    `json:"format"`
		ID               string                 `json:"id"`
		Team             string                 `json:"team"`
		Template         string                 `json:"template"`
		TemplateRevision uint64                 `json:"templateRevision"`
		State            marigoldcroft.JobState `json:"state"`
		Created          time.Time              `json:"created"`
		Deadline         time.Time              `json:"deadline"`
		Finished         time.Time              `json:"finished,omitzero"`
		// AcceptedBy is the instance that will start the job without a sweep, if it lives.
		AcceptedBy owner `json:"acceptedBy,omitzero"`
		// Owner is set while the job runs.
		Owner owner `json:"owner,omitzero"`
		// Epoch counts the claims.
		Epoch uint64 `json:"epoch"`
		// Hash covers the template and the body.
		Hash   []byte   `json:"hash"`
		Prompt chunkSet `json:"prompt"`
		// Answer is the compressed answer, empty if it is in Answers.
		Answer  []byte   `json:"answer,omitempty"`
		Answers chunkSet `json:"answers,omitzero"`
		Error   string   `json:"error,omitempty"`
	}
)

func (d *document) status() marigoldcroft.JobStatus {
	return marigoldcroft.JobStatus{
		ID: d.ID, Team: d.Team, Template: d.Template, State: d.State,
		Created: d.Created, Deadline: d.Deadline, Error: d.Error, Epoch: d.Epoch,
	}
}

// withFinalState returns a copy of the document in a final state.
func (d *document) withFinalState(state marigoldcroft.JobState, reason string) *document {
	next := *d
	next.State, next.Finished, next.Owner = state, time.Now().UTC(), owner{}
	if len(reason) > maxErrorBytes {
		reason = strings.ToValidUTF8(reason[:maxErrorBytes], "")
	}
	next.Error = reason
	return &next
}

func (d *document) encode() ([]byte, error) { return json.Marshal(d) }

func decodeDocument(value []byte) (*document, error) {
	var d document
	err := json.Unmarshal(value, &d)
	if err == nil && d.Format != documentFormat {
		err = errors.Newf("format %d, expected %d", d.Format, documentFormat)
	}
	if err != nil {
		return nil, marigoldcroft.NewFailure("decode job", KindUnreadable, err)
	}
	return &d, nil
}

// jobID derives the id from team and key, so that the same key gives the same id at
// every instance. Without a key the id is random.
func jobID(team, key string) string {
	sum := make([]byte, sha256.Size)
	if key == "" {
		// Read never returns an error.
		_, _ = rand.Read(sum)
	} else {
		sum = digest([]byte(team), []byte(key))
	}
	shard := binary.BigEndian.Uint64(sum[idBytes:]) % ShardCount
	return fmt.Sprintf("%02d-%s", shard, hex.EncodeToString(sum[:idBytes]))
}

// digest hashes the parts with their lengths, so that no two lists have one digest.
func digest(parts ...[]byte) []byte {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

// jobKey needs an id that matches idPattern. The id begins with its shard.
func jobKey(id string) string { return shardPrefix(jobPrefix, id[:2]) + "/" + id }

// shardOf needs an id that matches idPattern.
func shardOf(id string) int { return int(id[0]-'0')*10 + int(id[1]-'0') }

func shardPrefix(prefix, shard string) string { return prefix + shard }

func shardName(shard int) string { return fmt.Sprintf("%02d", shard) }

func chunkKey(prefix, id, set string, n int) string {
	return fmt.Sprintf("%s%s/%s-%d", prefix, id, set, n)
}

// parseChunkKey returns the job and the set of a chunk.
func parseChunkKey(prefix, key string) (id, set string, ok bool) {
	id, name, ok := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	if !ok || !idPattern.MatchString(id) {
		return "", "", false
	}
	i := strings.LastIndexByte(name, '-')
	if i < 0 {
		return "", "", false
	}
	return id, name[:i], true
}
