// Package plot draws the workspaces' usage of the fleet against their shares, as SVG.
package plot

import (
	"fmt"
	"html"
	"maps"
	"slices"
	"strings"

	"papayajunction/internal/replay/engine"
)

// Sizes of the picture, in pixels.
const (
	width  = 960
	height = 420
	left   = 60
	bottom = 40
	top    = 40
	legend = 200
)

var colours = []string{"#1b6ca8", "#c8553d", "#588157", "#8e5ea2", "#d4a017", "#457b9d", "#6d4c41", "#2a9d8f"}

// Shares draws each workspace's dominant share of the fleet over time as a solid line, and the fraction of the fleet that its
// weight entitles it to as a dashed line.
func Shares(title string, r engine.Result) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, width, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/><text x="%d" y="20" font-size="15">%s: part of the fleet in use by workspace</text>`,
		width, height, left, html.EscapeString(title))
	axes(&b, r)
	total := 0.0
	for _, share := range r.Shares {
		total += share
	}
	for i, name := range slices.Sorted(maps.Keys(r.Shares)) {
		colour := colours[i%len(colours)]
		line(&b, r, name, colour)
		y := yOf(r.Shares[name] / total)
		fmt.Fprintf(&b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="%s" stroke-dasharray="4 4" opacity="0.6"/>`, left, y, width-legend, y, colour)
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s (share %g)</text>`, width-legend+10, top+20+18*i, colour, html.EscapeString(name), r.Shares[name])
	}
	b.WriteString("</svg>\n")
	return []byte(b.String())
}

func yOf(fraction float64) float64 {
	return float64(height-bottom) - fraction*float64(height-bottom-top)
}

func xOf(i, n int) float64 {
	return left + float64(i)/float64(max(n-1, 1))*float64(width-legend-left)
}

func axes(b *strings.Builder, r engine.Result) {
	for _, fraction := range []float64{0, 0.25, 0.5, 0.75, 1} {
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.0f %%</text>`,
			left, yOf(fraction), width-legend, yOf(fraction), left-6, yOf(fraction)+4, 100*fraction)
	}
	if n := len(r.Samples); n > 0 {
		fmt.Fprintf(b, `<text x="%d" y="%d">0 s</text><text x="%d" y="%d" text-anchor="end">%.0f s</text>`,
			left, height-bottom+18, width-legend, height-bottom+18, r.Samples[n-1].At.Seconds())
	}
}

func line(b *strings.Builder, r engine.Result, name, colour string) {
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="`, colour)
	for i, s := range r.Samples {
		fmt.Fprintf(b, "%.1f,%.1f ", xOf(i, len(r.Samples)), yOf(s.Usage[name].DominantShare(s.Capacity)))
	}
	b.WriteString(`"/>`)
}
