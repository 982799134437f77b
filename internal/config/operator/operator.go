// Package operator parses the JSON files that operators publish and reports all errors in them at
// once, each with file, line and field.
package operator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	pj "papayajunction"
)

// Names and limits of operator files.
const (
	FleetFileName   = "fleet.json"
	QueueFileSuffix = ".queue.json"
	MaxFileBytes    = 256 << 10
	MaxFiles        = 5000
)

// Collect reads the operator files below dir and returns them sorted by path.
func Collect(dir string) ([]pj.OperatorFile, error) {
	var files []pj.OperatorFile
	root := os.DirFS(dir)
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !isOperatorFile(entry.Name()) {
			return nil
		}
		content, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		files = append(files, pj.OperatorFile{Path: path, Content: string(content)})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read operator files below %s: %w", dir, err)
	}
	return files, nil
}

func isOperatorFile(name string) bool {
	return name == FleetFileName || strings.HasSuffix(name, QueueFileSuffix)
}

// Hash returns the SHA-256 hash of all paths and contents, in hexadecimal. It does not depend on the
// order of files.
func Hash(files []pj.OperatorFile) string {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b pj.OperatorFile) int { return strings.Compare(a.Path, b.Path) })
	h := sha256.New()
	for _, f := range sorted {
		_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(f.Path), f.Path, len(f.Content), f.Content)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Parse parses a set of files. The configuration is valid only if there are no issues.
func Parse(files []pj.OperatorFile) (pj.Configuration, []pj.FieldIssue) {
	p := parser{config: pj.Configuration{
		Hash:       Hash(files),
		Workspaces: make(map[string]pj.Workspace),
		Queues:     make(map[string]pj.Queue),
	}}
	if len(files) > MaxFiles {
		p.report(issueAt("", 0, "", "at most %d files can be published at once", MaxFiles))
		return p.config, p.issues
	}
	for _, f := range files {
		p.parseFile(f)
	}
	p.checkWorkspaces()
	slices.SortStableFunc(p.issues, func(a, b pj.FieldIssue) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		return a.Line - b.Line
	})
	return p.config, p.issues
}

type parser struct {
	config    pj.Configuration
	issues    []pj.FieldIssue
	pending   []pendingQueue
	definedIn map[string]string // file by "queue NAME" or "workspace NAME"
}

// pendingQueue is a queue whose workspace is checked once all files are parsed.
type pendingQueue struct {
	file           string
	workspaceField field
	queue          pj.Queue
}

func (p *parser) report(issue pj.FieldIssue) {
	p.issues = append(p.issues, issue)
}

func issueAt(file string, line int, name, format string, args ...any) pj.FieldIssue {
	return pj.FieldIssue{File: file, Line: line, Field: name, Message: fmt.Sprintf(format, args...)}
}

func (p *parser) parseFile(f pj.OperatorFile) {
	if len(f.Content) > MaxFileBytes {
		p.report(issueAt(f.Path, 1, "", "the file is larger than %d bytes", MaxFileBytes))
		return
	}
	name := f.Path[strings.LastIndex(f.Path, "/")+1:]
	switch {
	case name == FleetFileName:
		p.parseFleet(f)
	case strings.HasSuffix(name, QueueFileSuffix):
		p.parseQueue(f)
	default:
		p.report(issueAt(f.Path, 1, "", "the file name must be %s or end in %s", FleetFileName, QueueFileSuffix))
	}
}

// define registers a name and reports whether it was not defined before. If it was, it adds an issue.
func (p *parser) define(file string, f field, kind, name string) bool {
	if p.definedIn == nil {
		p.definedIn = make(map[string]string)
	}
	key := kind + " " + name
	if other, exists := p.definedIn[key]; exists {
		p.report(issueAt(file, f.line, f.name, "%s is already defined in %s", key, other))
		return false
	}
	p.definedIn[key] = file
	return true
}

func (p *parser) checkWorkspaces() {
	for _, pending := range p.pending {
		w, ok := p.config.Workspaces[pending.queue.Workspace]
		if !ok {
			p.report(issueAt(pending.file, pending.workspaceField.line, pending.workspaceField.name,
				"workspace %q is not defined in any %s", pending.queue.Workspace, FleetFileName))
			continue
		}
		p.checkLimit(pending, w)
	}
}

// checkLimit reports a queue whose work could never start within the upper limit of its workspace.
func (p *parser) checkLimit(pending pendingQueue, w pj.Workspace) {
	q := pending.queue
	needed := q.Task
	if q.Kind == pj.KindGang {
		needed = q.Task.Mul(int64(q.Tasks))
	}
	if q.Kind == pj.KindRequest {
		needed = pj.Resources{pj.Slots: 1}
	}
	if !needed.FitsWhereUsed(w.Limit) {
		p.report(issueAt(pending.file, pending.workspaceField.line, "task",
			"needs %v at once, but the limit of workspace %s is %v, so it could never run", needed, w.Name, w.Limit))
	}
}

// field is one member of a JSON object, with the line that it starts on.
type field struct {
	name string
	line int
	raw  json.RawMessage
}

// object is a JSON object whose members are removed as they are read; those that remain are unknown.
type object struct {
	file   string
	line   int
	fields map[string]field // members that have not been read
	order  []string         // names of all members
	p      *parser
}

// parseObject splits a JSON object into its members. text is the whole file and start the object's
// offset in it.
func (p *parser) parseObject(file, text string, start int, raw []byte) (*object, bool) {
	o := &object{file: file, line: lineAt(text, start), fields: make(map[string]field), p: p}
	dec := json.NewDecoder(bytes.NewReader(raw))
	token, err := dec.Token()
	if err != nil || token != json.Delim('{') {
		p.report(issueAt(file, o.line, "", "expected a JSON object"))
		return nil, false
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return nil, o.reportSyntax(text, start, dec, err)
		}
		f := field{name: fmt.Sprint(key), line: lineAt(text, start+int(dec.InputOffset()))}
		if err := dec.Decode(&f.raw); err != nil {
			return nil, o.reportSyntax(text, start, dec, err)
		}
		if _, duplicate := o.fields[f.name]; duplicate {
			p.report(issueAt(file, f.line, f.name, "duplicate field"))
		}
		o.fields[f.name] = f
		o.order = append(o.order, f.name)
	}
	if _, err := dec.Token(); err != nil {
		return nil, o.reportSyntax(text, start, dec, err)
	}
	if dec.More() {
		p.report(issueAt(file, lineAt(text, start+int(dec.InputOffset())), "", "unexpected data after the JSON object"))
		return nil, false
	}
	return o, true
}

func (o *object) reportSyntax(text string, start int, dec *json.Decoder, err error) bool {
	line := lineAt(text, start+int(dec.InputOffset()))
	o.p.report(issueAt(o.file, line, "", "invalid JSON near this line: %v", err))
	return false
}

func lineAt(text string, offset int) int {
	return 1 + strings.Count(text[:min(max(offset, 0), len(text))], "\n")
}

// remove removes a member and returns it.
func (o *object) remove(name string) (field, bool) {
	f, ok := o.fields[name]
	delete(o.fields, name)
	return f, ok
}

// read decodes a member into target. allowed describes the allowed values in issues.
func (o *object) read(name string, target any, required bool, allowed string) (field, bool) {
	f, ok := o.remove(name)
	if !ok {
		if required {
			o.p.report(issueAt(o.file, o.line, name, "is missing; it must be %s", allowed))
		}
		return field{name: name, line: o.line}, false
	}
	if err := json.Unmarshal(f.raw, target); err != nil || string(f.raw) == "null" {
		o.p.report(issueAt(o.file, f.line, name, "is %s; it must be %s", f.raw, allowed))
		return f, false
	}
	return f, true
}

func (o *object) fail(f field, format string, args ...any) {
	o.p.report(issueAt(o.file, f.line, f.name, format, args...))
}

// rejectUnknown reports the members that have not been read.
func (o *object) rejectUnknown(allowed string) {
	for _, name := range o.order {
		if f, unknown := o.fields[name]; unknown {
			o.fail(f, "unknown field; allowed are %s", allowed)
			delete(o.fields, name)
		}
	}
}
