package mcjob

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// MaxBodyBytes is the largest body or answer of a job. A body of a million tokens
	// is about 4 MB.
	MaxBodyBytes = 16 << 20
	// maxChunkBytes is the largest stored chunk including its format byte. It stays
	// below the store's limit of 1 MB per object.
	maxChunkBytes = 960 << 10
	chunkFormat   = 1
	// maxInlineAnswerBytes is the largest compressed answer that is stored in the job
	// object itself. Base64 makes it a third longer, which leaves over 100 KB for the
	// other fields.
	maxInlineAnswerBytes = 672 << 10
)

// compress uses the fastest gzip level: at the default level, a 16 MiB body would keep
// a core busy for most of a second.
func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress fails if the output exceeds MaxBodyBytes, whatever size the input
// declares.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, unreadableFailure(err)
	}
	body, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err == nil && len(body) > MaxBodyBytes {
		err = errors.Newf("more than %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return nil, unreadableFailure(err)
	}
	return body, nil
}

func unreadableFailure(err error) error {
	return marigoldcroft.NewFailure("read body", KindUnreadable, err)
}

// splitChunks splits a compressed body into chunks, each with the format version in its
// first byte.
func splitChunks(compressed []byte) [][]byte {
	var chunks [][]byte
	for start := 0; start < len(compressed); start += maxChunkBytes - 1 {
		part := compressed[start:min(start+maxChunkBytes-1, len(compressed))]
		chunks = append(chunks, append([]byte{chunkFormat}, part...))
	}
	return chunks
}

// chunkPayload returns a chunk's part of the compressed body, without the format byte.
func chunkPayload(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != chunkFormat {
		return nil, unreadableFailure(errors.New("unknown chunk format"))
	}
	return value[1:], nil
}
