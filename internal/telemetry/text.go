package telemetry

import (
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

const textContentType = "text/plain; version=0.0.4; charset=utf-8"

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// ServeHTTP writes all series in the Prometheus text format.
func (e *Exporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", textContentType)
	if _, err := io.WriteString(w, e.Text()); err != nil {
		return // The client disconnected; the next scrape gets all series again.
	}
}

// Text returns all series in the Prometheus text format, sorted by name and labels. Histograms have no _sum line,
// because tally reports only the number of samples in each bucket.
func (e *Exporter) Text() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(e.families)) {
		f := e.families[name]
		out.WriteString("# TYPE " + name + " " + string(f.kind) + "\n")
		for _, labels := range slices.Sorted(maps.Keys(f.series)) {
			f.series[labels].write(&out, name, labels)
		}
	}
	return out.String()
}

// formatLabels returns the tags as label pairs sorted by name. Invalid UTF-8 in values is replaced by question marks.
func formatLabels(tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for _, name := range slices.Sorted(maps.Keys(tags)) {
		pairs = append(pairs, name+`="`+labelEscaper.Replace(strings.ToValidUTF8(tags[name], "?"))+`"`)
	}
	return strings.Join(pairs, ",")
}

func writeLine(out *strings.Builder, name, labels, value string) {
	out.WriteString(name)
	if labels != "" {
		out.WriteString("{" + labels + "}")
	}
	out.WriteString(" " + value + "\n")
}

func (c *counter) write(out *strings.Builder, name, labels string) {
	writeLine(out, name, labels, strconv.FormatInt(c.value.Load(), 10))
}

func (g *gauge) write(out *strings.Builder, name, labels string) {
	writeLine(out, name, labels, formatFloat(math.Float64frombits(g.bits.Load())))
}

// write appends the lines of the cumulative buckets and of the count.
func (h *histogram) write(out *strings.Builder, name, labels string) {
	var total int64
	separator := ","
	if labels == "" {
		separator = ""
	}
	for _, upper := range h.sortedBounds() {
		total += h.bucket(upper).value.Load()
		writeLine(out, name+"_bucket", labels+separator+`le="`+formatFloat(upper)+`"`, strconv.FormatInt(total, 10))
	}
	writeLine(out, name+"_count", labels, strconv.FormatInt(total, 10))
}

func formatFloat(value float64) string {
	if math.IsInf(value, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}
