package settings

import (
	"fmt"
	"strings"
)

// MarkdownTable returns the table of docs/SETTINGS.md.
func MarkdownTable() string {
	var table strings.Builder
	table.WriteString("| flag | variable | unit | default | meaning |\n|---|---|---|---|---|\n")
	for _, d := range definitions {
		fmt.Fprintf(&table, "| `-%s` | `%s` | %s | %s | %s |\n", d.Flag, d.Variable(), d.Unit, d.defaultText(), d.Usage)
	}
	return table.String()
}

func (d Definition) defaultText() string {
	if d.Default == "" {
		return "none"
	}
	return "`" + d.Default + "`"
}
