package mcjob

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"marigoldcroft"
)

const (
	// ShardCount is the number of shards that jobs are spread over.
	ShardCount = 64
	// formatVersion is the version of the stored forms.
	formatVersion = 1
	// chunkBytes is the size of a prompt chunk before compression. Text that does not
	// compress grows by far less than the rest to the store's limit of 1 MiB.
	chunkBytes = 900 << 10
	// maxBodyBytes bounds a job's request.
	maxBodyBytes = 64 << 20
	// maxAnswerBytes bounds an answer, which is kept in the job object.
	maxAnswerBytes = 900 << 10
)

// Record is the stored form of a job.
type Record struct {
	Version int `json:"version"`
	marigoldcroft.JobStatus
	TemplateRevision uint64 `json:"templateRevision"`
	// Owner is the instance/incarnation that has claimed the job, or "".
	Owner  string `json:"owner,omitempty"`
	Chunks int    `json:"chunks"`
	// BodyHash is the SHA-256 of the body in hex.
	BodyHash string    `json:"bodyHash"`
	Ended    time.Time `json:"ended"`
}

// jobKey returns the key of the job with the id shard-uuid, or false for another id.
func jobKey(id string) (string, bool) {
	shard, name, found := strings.Cut(id, "-")
	number, err := strconv.Atoi(shard)
	if !found || err != nil || number < 0 || number >= ShardCount || strconv.Itoa(number) != shard {
		return "", false
	}
	if _, err := uuid.Parse(name); err != nil || len(name) != len(uuid.Nil.String()) {
		return "", false
	}
	return shardPrefix(number) + id, true
}

func shardPrefix(shard int) string { return fmt.Sprintf("jobs/%d/", shard) }

func promptKey(id string, chunk int) string { return fmt.Sprintf("jobprompts/%s/%d", id, chunk) }

// newID returns the id of a submission. The shard stands in it, so that any instance
// finds the job. The same team and key give the same id; without a key it is random.
func newID(team, key string) string {
	name := uuid.New()
	if key != "" {
		name = uuid.NewSHA1(uuid.NameSpaceOID, []byte(strconv.Itoa(len(team))+":"+team+":"+key))
	}
	return fmt.Sprintf("%d-%s", xxhash.Sum64(name[:])%ShardCount, name)
}

func hashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func encodeRecord(r Record) ([]byte, error) { return json.Marshal(r) }

func decodeRecord(id string, raw []byte) (Record, error) {
	var r Record
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(&r)
	if err == nil && (r.Version != formatVersion || r.ID != id || r.Chunks < 0 || r.Chunks > maxBodyBytes/chunkBytes+1) {
		err = errors.Newf("version %d, id %q and %d chunks do not fit", r.Version, r.ID, r.Chunks)
	}
	if err != nil {
		return Record{}, marigoldcroft.NewFailure("decode job "+id, KindCorrupt, err)
	}
	return r, nil
}

// splitBody returns the compressed chunks of a body.
func splitBody(body []byte) ([][]byte, error) {
	var chunks [][]byte
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		var out bytes.Buffer
		w := gzip.NewWriter(&out)
		if _, err := w.Write(body[:n]); err != nil {
			return nil, err
		}
		if err := w.Close(); err != nil {
			return nil, err
		}
		chunks, body = append(chunks, out.Bytes()), body[n:]
	}
	return chunks, nil
}

// joinChunk appends the content of a compressed chunk to body.
func joinChunk(body, chunk []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(chunk))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, chunkBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > chunkBytes {
		return nil, errors.Newf("a chunk is larger than %d bytes", chunkBytes)
	}
	return append(body, text...), nil
}
