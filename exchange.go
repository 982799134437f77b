package papayajunction

import "time"

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
}

// Answer is the whole answer of an endpoint.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}
