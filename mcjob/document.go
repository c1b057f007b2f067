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
	// ShardCount is the number of shards. It is part of the stored key layout and must
	// not change while any jobs are stored.
	ShardCount = 64
	// documentFormat is the version of the job objects that this package writes.
	// Objects with another version are neither changed nor deleted.
	documentFormat = 1
	idBytes        = 16
	// maxErrorBytes is the longest stored error text.
	maxErrorBytes = 4 << 10

	jobPrefix    = "jobs/"
	promptPrefix = "jobprompts/"
	answerPrefix = "jobanswers/"
)

var idPattern = regexp.MustCompile(`^[0-5][0-9]-[0-9a-f]{32}$|^6[0-3]-[0-9a-f]{32}$`)

type (
	// owner identifies the process incarnation that holds a claim.
	owner struct {
		Instance    string `json:"instance,omitempty"`
		Incarnation uint64 `json:"incarnation,omitempty"`
	}

	// chunkSet identifies the chunks <Name>-0 to <Name>-<Count-1> of one body. The name
	// is unique to the attempt that wrote them, so chunks of two attempts are never
	// mixed.
	chunkSet struct {
		Name  string `json:"name,omitempty"`
		Count int    `json:"count,omitempty"`
	}

	// document is the JSON content of a job object.
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
		// AcceptedBy is the instance that accepted the job and starts it without
		// waiting for a sweep, unless it dies first.
		AcceptedBy owner `json:"acceptedBy,omitzero"`
		// Owner is set while the job runs.
		Owner owner `json:"owner,omitzero"`
		// Epoch is the number of times the job was claimed.
		Epoch uint64 `json:"epoch"`
		// Hash is a digest of the template and the body. It detects a key that is
		// reused for another submission.
		Hash   []byte   `json:"hash"`
		Prompt chunkSet `json:"prompt"`
		// Answer is the compressed answer. It is empty if the answer is stored in the
		// chunks named by Answers.
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

// withFinalState returns a copy of the document in the final state, without an owner
// and with the error text truncated to maxErrorBytes.
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

// jobID derives the id from team and key, so that every instance computes the same id
// for a key. Without a key the id is random.
func jobID(team, key string) string {
	sum := make([]byte, sha256.Size)
	if key == "" {
		// rand.Read never returns an error.
		_, _ = rand.Read(sum)
	} else {
		sum = digest([]byte(team), []byte(key))
	}
	shard := binary.BigEndian.Uint64(sum[idBytes:]) % ShardCount
	return fmt.Sprintf("%02d-%s", shard, hex.EncodeToString(sum[:idBytes]))
}

// digest hashes each part with its length, so that different lists of parts cannot
// produce the same input.
func digest(parts ...[]byte) []byte {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

// jobKey returns the store key of a job. The id must match idPattern; its first two
// digits are the shard.
func jobKey(id string) string { return shardPrefix(jobPrefix, id[:2]) + "/" + id }

// shardOf returns the shard of an id, which must match idPattern.
func shardOf(id string) int { return int(id[0]-'0')*10 + int(id[1]-'0') }

func shardPrefix(prefix, shard string) string { return prefix + shard }

func shardName(shard int) string { return fmt.Sprintf("%02d", shard) }

func chunkKey(prefix, id, set string, n int) string {
	return fmt.Sprintf("%s%s/%s-%d", prefix, id, set, n)
}

// parseChunkKey returns the job id and the set name in the key of a chunk.
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
