package papayajunction

import (
	"io"
	"time"
)

// Exchange is the state of one request while the filters process it.
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

	Sent     bool // true once a byte may have been sent to an endpoint
	Attempts int
	Waited   time.Duration
	Endpoint string
	Response Response

	// Stream sends the head of a large response to the caller and returns the writer for the body. It is
	// nil where responses must be buffered whole.
	Stream func(head Response, length int64) io.Writer
}

// Response is an endpoint's response to a request. With Streamed, the body has already been sent to the
// caller.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Streamed    bool
}
