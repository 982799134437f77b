package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// logLine is one line of a VM's log.
type logLine struct {
	At   string `json:"ts"` // sorts by time as text
	Text string `json:"text"`
}

// explain prints what the logs of several VMs say of one id, in order of time, with the changes of leadership
// in between.
func (a *App) explain() *ffcli.Command {
	return a.command("explain", "ID FILE...", "Print what the logs of several VMs say of one id, in order of time",
		"papaya explain 5c0e7a21d94b36f8 entry-1.log core-1.log core-2.log",
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return fmt.Errorf("%w: give an id and one or more log files", errUsage)
			}
			var lines []logLine
			for _, file := range args[1:] {
				more, err := readLog(file)
				if err != nil {
					return fmt.Errorf("read %s: %w", file, err)
				}
				lines = append(lines, more...)
			}
			story := storyOf(args[0], lines)
			return a.print(story, func(w io.Writer) {
				for _, l := range story {
					_, _ = fmt.Fprintln(w, l.Text)
				}
			})
		})
}

// readLog returns the lines of a log that have a time.
func readLog(file string) ([]logLine, error) {
	f, err := os.Open(filepath.Clean(file))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }() // it was only read
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, rest, found := strings.Cut(scanner.Text(), "ts=")
		if !found {
			continue
		}
		at, _, _ := strings.Cut(rest, " ")
		lines = append(lines, logLine{At: at, Text: "ts=" + rest})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// storyOf returns the lines that name the id, and the changes of leadership between the first and the last of them.
func storyOf(id string, lines []logLine) []logLine {
	slices.SortStableFunc(lines, func(x, y logLine) int { return strings.Compare(x.At, y.At) })
	names := func(l logLine) bool { return strings.Contains(l.Text, id) }
	first := slices.IndexFunc(lines, names)
	if first < 0 {
		return nil
	}
	last := first
	for i, l := range lines {
		if names(l) {
			last = i
		}
	}
	var story []logLine
	for _, l := range lines[first : last+1] {
		if names(l) || strings.Contains(l.Text, " event=lead_") {
			story = append(story, l)
		}
	}
	return story
}
