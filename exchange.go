package papayajunction

import (
	"io"
	"time"
)

// Exchange is one request on its way through the filters.
type Exchange struct {
	RequestID   string
	QueueName   string
	Secret      string
	Body        []byte
	ContentType string
	Arrived     time.Time

	Queue    Queue
	Identity Identity
	Deadline time.Time

	Sent     bool // true once the first byte towards an endpoint may have been written
	Attempts int
	Waited   time.Duration
	Endpoint string
	Answer   Answer

	// Stream begins a large answer and returns where its bytes go. It is nil where answers can only
	// be taken in whole.
	Stream func(head Answer, length int64) io.Writer
}

// Answer is the whole answer of an endpoint. With Streamed, the body has gone to the caller already.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Streamed    bool
}
