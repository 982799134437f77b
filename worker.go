package papayajunction

// Phase is the state of a task on its worker.
type Phase string

// The phases that a worker reports.
const (
	PhaseRunning  Phase = "running"
	PhaseFinished Phase = "finished" // ended by itself, successfully
	PhaseFailed   Phase = "failed"   // ended by itself with an error
	PhaseStopped  Phase = "stopped"  // ended by a stop or checkpoint action, or because its lease expired
)

// Ended reports whether the task no longer uses resources on the worker.
func (p Phase) Ended() bool {
	return p != PhaseRunning
}

// TaskReport is the state of one task in a worker's report.
type TaskReport struct {
	Attempt AttemptID `json:"attempt"`
	Phase   Phase     `json:"phase"`
	Usage   Resources `json:"usage,omitzero"`
	Result  string    `json:"result,omitempty"`
	Reason  string    `json:"reason,omitempty"`
	RunMS   int64     `json:"run_ms,omitempty"`
}

// WorkerReport is a worker's periodic status message to the cell's leader. Tasks lists every task on the
// worker, ended ones until they are acknowledged.
//
// Incarnation changes when the worker restarts; a new incarnation has no earlier task. Term is the
// highest term of the cell's leader that the worker has received. Sequence grows with each report of
// an incarnation, so that a report that arrives after a later one can be recognised as stale. A leader grants a
// lease only in reply to a report that names its term and isn't the first one that it received from the incarnation.
type WorkerReport struct {
	Worker      string       `json:"worker"`
	Zone        string       `json:"zone"`
	Rack        string       `json:"rack"`
	Incarnation string       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Term        uint64       `json:"term"`
	Capacity    Resources    `json:"capacity"`
	Tasks       []TaskReport `json:"tasks,omitempty"`
	Draining    bool         `json:"draining,omitempty"`
}

// Verb is the type of an Action.
type Verb string

// The verbs of actions.
const (
	VerbStart      Verb = "start"
	VerbStop       Verb = "stop"
	VerbThrottle   Verb = "throttle"
	VerbCheckpoint Verb = "checkpoint" // save the task's progress, then stop it
)

// Action is one operation that a worker must carry out on a task.
type Action struct {
	Verb        Verb      `json:"verb"`
	Attempt     AttemptID `json:"attempt"`
	Queue       string    `json:"queue,omitempty"`
	Kind        Kind      `json:"kind,omitempty"`
	Workspace   string    `json:"workspace,omitempty"`
	Reservation Resources `json:"reservation,omitzero"`
	Payload     string    `json:"payload,omitempty"`
	RunTime     Duration  `json:"run_time,omitempty"`
}

// WorkerReportReply is the reply to a worker's report. The worker may run its tasks for LeaseMS milliseconds,
// counted from when it sent the report; it stops reporting the tasks in Acknowledged.
//
// Incarnation and Sequence name the report that is answered. A worker ignores a reply that names another report than the
// last one it sent, and a second reply to that one: leases, actions and acknowledgements hold for the answered report only.
type WorkerReportReply struct {
	Incarnation  string      `json:"incarnation"`
	Sequence     uint64      `json:"sequence"`
	Term         uint64      `json:"term"`
	LeaseMS      int64       `json:"lease_ms"`
	NextEntry    string      `json:"entry,omitempty"` // address of the entry VM that the next report should go to, as it leads the cell
	Actions      []Action    `json:"actions,omitempty"`
	Acknowledged []AttemptID `json:"acknowledged,omitempty"`
}
