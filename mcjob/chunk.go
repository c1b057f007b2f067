package mcjob

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
)

const (
	// MaxBodyBytes bounds the body and the answer of a job. A million tokens have about
	// 4 MB.
	MaxBodyBytes = 16 << 20
	// maxChunkBytes is the size of a stored chunk with its format byte, below the 1 MB that
	// the store holds.
	maxChunkBytes = 960 << 10
	chunkFormat   = 1
	// maxInlineAnswerBytes is the largest compressed answer inside a job object: base64
	// makes it a third longer, which leaves over 100 KB for the other fields.
	maxInlineAnswerBytes = 672 << 10
)

// compress favours speed: a 16 MiB body would keep a core busy for most of a second
// at the default level.
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

// decompress bounds its output, whatever the input says.
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

// splitChunks cuts a compressed body into chunks, each with its format in the first byte.
func splitChunks(compressed []byte) [][]byte {
	var chunks [][]byte
	for start := 0; start < len(compressed); start += maxChunkBytes - 1 {
		part := compressed[start:min(start+maxChunkBytes-1, len(compressed))]
		chunks = append(chunks, append([]byte{chunkFormat}, part...))
	}
	return chunks
}

// chunkPayload returns the content of a chunk.
func chunkPayload(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != chunkFormat {
		return nil, unreadableFailure(errors.New("unknown chunk format"))
	}
	return value[1:], nil
}
