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
	// chunkBytes is the size of a stored chunk with its format byte, below the 1 MB that
	// the store holds.
	chunkBytes  = 960 << 10
	chunkFormat = 1
	// inlineAnswerBytes is the largest compressed answer inside a job object: base64
	// makes it a third longer, which leaves over 100 KB for the other fields.
	inlineAnswerBytes = 672 << 10
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

// expand bounds its output, whatever the input says.
func expand(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, unreadable(err)
	}
	body, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err == nil && len(body) > MaxBodyBytes {
		err = errors.Newf("more than %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return nil, unreadable(err)
	}
	return body, nil
}

func unreadable(err error) error {
	return marigoldcroft.NewFailure("read body", KindUnreadable, err)
}

// split cuts a compressed body into chunks, each with its format in the first byte.
func split(compressed []byte) [][]byte {
	var chunks [][]byte
	for start := 0; start < len(compressed); start += chunkBytes - 1 {
		part := compressed[start:min(start+chunkBytes-1, len(compressed))]
		chunks = append(chunks, append([]byte{chunkFormat}, part...))
	}
	return chunks
}

// unchunk returns the content of a chunk.
func unchunk(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != chunkFormat {
		return nil, unreadable(errors.New("unknown chunk format"))
	}
	return value[1:], nil
}
