package operator

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	pj "papayajunction"
)

// Limits and defaults of fields.
const (
	maxNameLength     = 63
	maxTasks          = 10000
	maxAttempts       = 20
	maxShare          = 1e6
	maxTimeout        = time.Hour
	defaultTimeout    = 30 * time.Second
	defaultAttempts   = 5
	defaultMaxWaiting = 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

const (
	nameRule        = "a name of lower-case letters, digits and hyphens"
	resourceRule    = `an object such as {"cores": 2, "memory_gb": 4}`
	fleetFields     = "workspaces"
	workspaceFields = "workspace, share, limit"
	resourceFields  = "cores, memory_gb, accelerators, request_slots"
	requestFields   = "queue, workspace, kind, urgency, repeatable, open, timeout, max_waiting"
	jobFields       = "queue, workspace, kind, urgency, repeatable, open, run_time, tasks, task, attempts, max_waiting"
)

func (p *parser) parseFleet(f pj.OperatorFile) {
	o, ok := p.parseObject(f.Path, f.Content, 0, []byte(f.Content))
	if !ok {
		return
	}
	var items []json.RawMessage
	list, ok := o.read("workspaces", &items, true, "a list of workspaces")
	o.rejectUnknown(fleetFields)
	if !ok {
		return
	}
	offset := strings.Index(f.Content, string(list.raw))
	for _, item := range items {
		start := offset + strings.Index(f.Content[offset:], string(item))
		p.parseWorkspace(f, start, item)
		offset = start + len(item)
	}
}

func (p *parser) parseWorkspace(f pj.OperatorFile, start int, raw []byte) {
	o, ok := p.parseObject(f.Path, f.Content, start, raw)
	if !ok {
		return
	}
	var w pj.Workspace
	nameField, nameOK := o.readName("workspace", &w.Name)
	if share, ok := o.read("share", &w.Share, true, "a number greater than 0"); ok && (w.Share <= 0 || w.Share > maxShare) {
		o.fail(share, "is %v; it must be greater than 0 and at most %v", w.Share, maxShare)
	}
	if limit, ok := o.readResources(f, "limit", &w.Limit, true); ok && w.Limit.IsZero() {
		o.fail(limit, "must be greater than 0 in at least one of %s", resourceFields)
	}
	o.rejectUnknown(workspaceFields)
	if nameOK && p.define(f.Path, nameField, "workspace", w.Name) {
		p.config.Workspaces[w.Name] = w
	}
}

func (p *parser) parseQueue(f pj.OperatorFile) {
	o, ok := p.parseObject(f.Path, f.Content, 0, []byte(f.Content))
	if !ok {
		return
	}
	q := pj.Queue{Timeout: pj.Duration(defaultTimeout), Attempts: defaultAttempts, MaxWaiting: defaultMaxWaiting}
	nameField, nameOK := o.readName("queue", &q.Name)
	workspaceField, workspaceOK := o.readName("workspace", &q.Workspace)
	kindOK := o.readKind(&q)
	o.readUrgency(&q)
	o.read("repeatable", &q.Repeatable, true, "true if the work may run more than once without harm, else false")
	o.read("open", &q.Open, false, "true if anyone may submit without a key, else false")
	if waiting, ok := o.read("max_waiting", &q.MaxWaiting, false, "a whole number"); ok && q.MaxWaiting < 1 {
		o.fail(waiting, "is %d; it must be at least 1", q.MaxWaiting)
	}
	if q.Kind == pj.KindRequest {
		o.readRequestFields(&q)
		o.rejectUnknown(requestFields)
	} else {
		o.readJobFields(f, &q)
		o.rejectUnknown(jobFields)
	}
	if nameOK && p.define(f.Path, nameField, "queue", q.Name) {
		p.config.Queues[q.Name] = q
	}
	if workspaceOK && kindOK {
		p.pending = append(p.pending, pendingQueue{file: f.Path, workspaceField: workspaceField, queue: q})
	}
}

func (o *object) readName(name string, target *string) (field, bool) {
	f, ok := o.read(name, target, true, nameRule)
	if ok && (!namePattern.MatchString(*target) || len(*target) > maxNameLength) {
		o.fail(f, "is %q; it must be %s, at most %d characters long", *target, nameRule, maxNameLength)
		return f, false
	}
	return f, ok
}

func (o *object) readKind(q *pj.Queue) bool {
	f, ok := o.read("kind", &q.Kind, true, "one of request, batch, gang, service")
	if ok && !slices.Contains(pj.Kinds(), q.Kind) {
		o.fail(f, "is %q; it must be one of request, batch, gang, service", q.Kind)
		return false
	}
	return ok
}

func (o *object) readUrgency(q *pj.Queue) {
	o.read("urgency", &q.Urgency, true, "one of urgent, normal, deferred")
}

func (o *object) readRequestFields(q *pj.Queue) {
	f, ok := o.read("timeout", &q.Timeout, false, `a duration such as "5s"`)
	if ok && (q.Timeout <= 0 || q.Timeout.Std() > maxTimeout) {
		o.fail(f, "is %v; it must be greater than 0 and at most %v", q.Timeout.Std(), maxTimeout)
	}
}

func (o *object) readJobFields(f pj.OperatorFile, q *pj.Queue) {
	if run, ok := o.read("run_time", &q.RunTime, false, `a duration such as "10m"`); ok && q.RunTime < 0 {
		o.fail(run, "is %v; it must not be negative", q.RunTime.Std())
	}
	q.Tasks = 1
	if tasks, ok := o.read("tasks", &q.Tasks, q.Kind == pj.KindGang, "the number of tasks"); ok && (q.Tasks < 1 || q.Tasks > maxTasks) {
		o.fail(tasks, "is %d; it must be from 1 to %d", q.Tasks, maxTasks)
	}
	if task, ok := o.readResources(f, "task", &q.Task, true); ok {
		o.checkTask(task, q.Task)
	}
	if attempts, ok := o.read("attempts", &q.Attempts, false, "a whole number"); ok && (q.Attempts < 1 || q.Attempts > maxAttempts) {
		o.fail(attempts, "is %d; it must be from 1 to %d", q.Attempts, maxAttempts)
	}
}

func (o *object) checkTask(f field, amount pj.Resources) {
	if amount[pj.Cores] <= 0 || amount[pj.Memory] <= 0 {
		o.fail(f, "is %v; cores and memory_gb must be greater than 0", amount)
	}
	if amount[pj.Slots] != 0 {
		o.fail(f, "has request_slots, which are allowed only in the limit of a workspace")
	}
}

// readResources reads a member that is an object of resources.
func (o *object) readResources(f pj.OperatorFile, name string, target *pj.Resources, required bool) (field, bool) {
	var raw json.RawMessage
	m, ok := o.read(name, &raw, required, resourceRule)
	if !ok {
		return m, false
	}
	start := strings.Index(f.Content, string(raw))
	inner, ok := o.p.parseObject(o.file, f.Content, start, raw)
	if !ok {
		return m, false
	}
	issueCount := len(o.p.issues)
	var cores, memory float64
	var accelerators, slots int64
	inner.readAmount(m, "cores", &cores)
	inner.readAmount(m, "memory_gb", &memory)
	inner.readCount(m, "accelerators", &accelerators)
	inner.readCount(m, "request_slots", &slots)
	inner.rejectUnknown(resourceFields)
	*target = pj.NewResources(cores, memory, accelerators, slots)
	return m, len(o.p.issues) == issueCount
}

// maxAmount is the maximum of each resource in operator units.
const maxAmount = 1e9

func (o *object) readAmount(parent field, name string, target *float64) {
	f, ok := o.read(name, target, false, "a number that is not negative")
	if ok && (*target < 0 || *target > maxAmount) {
		f.name = fmt.Sprintf("%s.%s", parent.name, name)
		o.fail(f, "is %v; it must be from 0 to %v", *target, float64(maxAmount))
	}
}

func (o *object) readCount(parent field, name string, target *int64) {
	f, ok := o.read(name, target, false, "a whole number that is not negative")
	if ok && (*target < 0 || *target > maxAmount) {
		f.name = fmt.Sprintf("%s.%s", parent.name, name)
		o.fail(f, "is %d; it must be from 0 to %d", *target, int64(maxAmount))
	}
}
