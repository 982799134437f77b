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

// maxLogLineBytes bounds one line of a log.
const maxLogLineBytes = 1 << 20

// logLine is one line of a VM's log.
type logLine struct {
	Time string `json:"ts"` // RFC 3339 in UTC; lines are sorted by it as text
	Text string `json:"text"`
}

// explain prints the log lines of several VMs that contain one id, in order of time, with the changes of
// leadership in between.
func (a *App) explain() *ffcli.Command {
	return a.newCommand("explain", "ID FILE...", "Print the log lines of several VMs that contain one id, in order of time",
		"papaya explain 5c0e7a21d94b36f8 entry-1.log core-1.log core-2.log",
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return fmt.Errorf("%w: give an id and one or more log files", errUsage)
			}
			var lines []logLine
			for _, file := range args[1:] {
				fileLines, err := readLog(file)
				if err != nil {
					return fmt.Errorf("read %s: %w", file, err)
				}
				lines = append(lines, fileLines...)
			}
			timeline := timelineOf(args[0], lines)
			return a.print(timeline, func(w io.Writer) {
				for _, l := range timeline {
					_, _ = fmt.Fprintln(w, l.Text)
				}
			})
		})
}

// readLog returns the lines of a log that have a timestamp, without anything before it.
func readLog(file string) ([]logLine, error) {
	f, err := os.Open(filepath.Clean(file))
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		_, fromTime, found := strings.Cut(scanner.Text(), "ts=")
		if !found {
			continue
		}
		timestamp, _, _ := strings.Cut(fromTime, " ")
		lines = append(lines, logLine{Time: timestamp, Text: "ts=" + fromTime})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// timelineOf returns the lines that contain the id, and the changes of leadership between the first and the last of them.
func timelineOf(id string, lines []logLine) []logLine {
	slices.SortStableFunc(lines, func(x, y logLine) int { return strings.Compare(x.Time, y.Time) })
	containsID := func(l logLine) bool { return strings.Contains(l.Text, id) }
	first := slices.IndexFunc(lines, containsID)
	if first < 0 {
		return nil
	}
	last := first
	for i, l := range lines {
		if containsID(l) {
			last = i
		}
	}
	var timeline []logLine
	for _, l := range lines[first : last+1] {
		if containsID(l) || strings.Contains(l.Text, " event=lead_") {
			timeline = append(timeline, l)
		}
	}
	return timeline
}
