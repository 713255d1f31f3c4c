package telemetry

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	pageRow    = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\w+) \\| ([\\w, ]+) \\|")
	typeLine   = regexp.MustCompile(`(?m)^# TYPE (\w+) (\w+)$`)
	labelNames = regexp.MustCompile(`(\w+)="`)
)

// TestPageListsAllMetrics guards against documented metrics that do not exist, on which an alert would never fire, and
// against undocumented metrics. It calls every method that sets a metric once with zero values.
func TestPageListsAllMetrics(t *testing.T) {
	m := New(1)
	value := reflect.ValueOf(m)
	for i := range value.NumMethod() {
		if name := value.Type().Method(i).Name; name == "Close" || name == "Handler" {
			continue
		}
		method := value.Method(i)
		var args []reflect.Value
		for j := range method.Type().NumIn() {
			args = append(args, reflect.Zero(method.Type().In(j)))
		}
		method.Call(args)
	}
	require.NoError(t, m.Close())
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	var documented []string
	for _, row := range pageRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, strings.Join(row[1:], " "))
	}
	slices.Sort(documented)
	require.Equal(t, exported(m.exporter.Text()), documented)
}

// exported returns "name type labels" for each metric, sorted.
func exported(text string) []string {
	var metrics []string
	for _, family := range typeLine.FindAllStringSubmatch(text, -1) {
		series := regexp.MustCompile(`(?m)^` + family[1] + `(?:_count)?(\{.*\})? `).FindStringSubmatch(text)
		labels := []string{}
		for _, label := range labelNames.FindAllStringSubmatch(series[1], -1) {
			labels = append(labels, label[1])
		}
		if len(labels) == 0 {
			labels = []string{"none"}
		}
		metrics = append(metrics, family[1]+" "+family[2]+" "+strings.Join(labels, ", "))
	}
	slices.Sort(metrics)
	return metrics
}
