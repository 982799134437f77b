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

// Bounds and defaults of fields.
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
	nameRule      = "a name of lower-case letters, digits and hyphens"
	resourceRule  = `an object such as {"cores": 2, "memory_gb": 4}`
	fleetFields   = "workspaces"
	spaceFields   = "workspace, share, limit"
	amountFields  = "cores, memory_gb, accelerators, request_slots"
	requestFields = "queue, workspace, kind, urgency, repeatable, open, timeout, max_waiting"
	jobFields     = "queue, workspace, kind, urgency, repeatable, open, run_time, tasks, task, attempts, max_waiting"
)

func (p *parser) parseFleet(f pj.File) {
	o, ok := p.open(f.Path, f.Content, 0, []byte(f.Content))
	if !ok {
		return
	}
	var items []json.RawMessage
	list, ok := o.read("workspaces", &items, true, "a list of workspaces")
	o.finish(fleetFields)
	if !ok {
		return
	}
	from := strings.Index(f.Content, string(list.raw))
	for _, item := range items {
		start := from + strings.Index(f.Content[from:], string(item))
		p.parseWorkspace(f, start, item)
		from = start + len(item)
	}
}

func (p *parser) parseWorkspace(f pj.File, start int, raw []byte) {
	o, ok := p.open(f.Path, f.Content, start, raw)
	if !ok {
		return
	}
	var w pj.Workspace
	name, named := o.name("workspace", &w.Name)
	if share, ok := o.read("share", &w.Share, true, "a number greater than 0"); ok && (w.Share <= 0 || w.Share > maxShare) {
		o.fail(share, "is %v; it must be greater than 0 and at most %v", w.Share, maxShare)
	}
	if limit, ok := o.amount(f, "limit", &w.Limit, true); ok && w.Limit.IsZero() {
		o.fail(limit, "allows nothing to run; give at least one of %s", amountFields)
	}
	o.finish(spaceFields)
	if named && p.once(f.Path, name, "workspace", w.Name) {
		p.config.Workspaces[w.Name] = w
	}
}

func (p *parser) parseQueue(f pj.File) {
	o, ok := p.open(f.Path, f.Content, 0, []byte(f.Content))
	if !ok {
		return
	}
	q := pj.Queue{Timeout: pj.Duration(defaultTimeout), Attempts: defaultAttempts, MaxWaiting: defaultMaxWaiting}
	name, named := o.name("queue", &q.Name)
	owning, owned := o.name("workspace", &q.Workspace)
	kindKnown := o.kind(&q)
	o.urgency(&q)
	o.read("repeatable", &q.Repeatable, true, "true if the work may run twice without harm, else false")
	o.read("open", &q.Open, false, "true if anyone may submit without a key, else false")
	if waiting, ok := o.read("max_waiting", &q.MaxWaiting, false, "a whole number"); ok && q.MaxWaiting < 1 {
		o.fail(waiting, "is %d; it must be at least 1", q.MaxWaiting)
	}
	if q.Kind == pj.KindRequest {
		o.requestFields(&q)
		o.finish(requestFields)
	} else {
		o.jobFields(f, &q)
		o.finish(jobFields)
	}
	if named && p.once(f.Path, name, "queue", q.Name) {
		p.config.Queues[q.Name] = q
	}
	if owned && kindKnown {
		p.owners = append(p.owners, owner{file: f.Path, field: owning, queue: q})
	}
}

func (o *object) name(member string, into *string) (field, bool) {
	f, ok := o.read(member, into, true, nameRule)
	if ok && (!namePattern.MatchString(*into) || len(*into) > maxNameLength) {
		o.fail(f, "is %q; it must be %s, at most %d long", *into, nameRule, maxNameLength)
		return f, false
	}
	return f, ok
}

func (o *object) kind(q *pj.Queue) bool {
	f, ok := o.read("kind", &q.Kind, true, "one of request, batch, gang, service")
	if ok && !slices.Contains(pj.Kinds(), q.Kind) {
		o.fail(f, "is %q; it must be one of request, batch, gang, service", q.Kind)
		return false
	}
	return ok
}

func (o *object) urgency(q *pj.Queue) {
	o.read("urgency", &q.Urgency, true, "one of urgent, normal, deferred")
}

func (o *object) requestFields(q *pj.Queue) {
	f, ok := o.read("timeout", &q.Timeout, false, `a time such as "5s"`)
	if ok && (q.Timeout <= 0 || q.Timeout.Std() > maxTimeout) {
		o.fail(f, "is %v; it must be more than 0 and at most %v", q.Timeout.Std(), maxTimeout)
	}
}

func (o *object) jobFields(f pj.File, q *pj.Queue) {
	if run, ok := o.read("run_time", &q.RunTime, false, `a time such as "10m"`); ok && q.RunTime < 0 {
		o.fail(run, "is %v; it must not be negative", q.RunTime.Std())
	}
	q.Tasks = 1
	if tasks, ok := o.read("tasks", &q.Tasks, q.Kind == pj.KindGang, "the number of tasks"); ok && (q.Tasks < 1 || q.Tasks > maxTasks) {
		o.fail(tasks, "is %d; it must be from 1 to %d", q.Tasks, maxTasks)
	}
	if task, ok := o.amount(f, "task", &q.Task, true); ok {
		o.checkTask(task, q.Task)
	}
	if attempts, ok := o.read("attempts", &q.Attempts, false, "a whole number"); ok && (q.Attempts < 1 || q.Attempts > maxAttempts) {
		o.fail(attempts, "is %d; it must be from 1 to %d", q.Attempts, maxAttempts)
	}
}

func (o *object) checkTask(f field, amount pj.Resources) {
	if amount[pj.Cores] <= 0 || amount[pj.Memory] <= 0 {
		o.fail(f, "is %v; a task needs some cores and some memory_gb", amount)
	}
	if amount[pj.Slots] != 0 {
		o.fail(f, "has request_slots, which only the limit of a workspace may have")
	}
}

// amount reads an object of resources.
func (o *object) amount(f pj.File, member string, into *pj.Resources, required bool) (field, bool) {
	var raw json.RawMessage
	m, ok := o.read(member, &raw, required, resourceRule)
	if !ok {
		return m, false
	}
	start := strings.Index(f.Content, string(raw))
	inner, ok := o.p.open(o.file, f.Content, start, raw)
	if !ok {
		return m, false
	}
	before := len(o.p.issues)
	var cores, memory float64
	var accelerators, slots int64
	inner.quantity(m, "cores", &cores)
	inner.quantity(m, "memory_gb", &memory)
	inner.whole(m, "accelerators", &accelerators)
	inner.whole(m, "request_slots", &slots)
	inner.finish(amountFields)
	*into = pj.NewResources(cores, memory, accelerators, slots)
	return m, len(o.p.issues) == before
}

const maxQuantity = 1e9

func (o *object) quantity(parent field, member string, into *float64) {
	f, ok := o.read(member, into, false, "a number that is not negative")
	if ok && (*into < 0 || *into > maxQuantity) {
		f.name = fmt.Sprintf("%s.%s", parent.name, member)
		o.fail(f, "is %v; it must be from 0 to %v", *into, float64(maxQuantity))
	}
}

func (o *object) whole(parent field, member string, into *int64) {
	f, ok := o.read(member, into, false, "a whole number that is not negative")
	if ok && (*into < 0 || *into > maxQuantity) {
		f.name = fmt.Sprintf("%s.%s", parent.name, member)
		o.fail(f, "is %d; it must be from 0 to %d", *into, int64(maxQuantity))
	}
}
