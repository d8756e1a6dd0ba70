package scenario

import (
	"bytes"
	"os"
	"path/filepath"
)

// Logs lists the processes' log files with a panic, a data race or a broken invariant.
func Logs(folder string) (bad []string) {
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil && (contains(text, "panic:") || contains(text, "DATA RACE") || contains(text, "broken invariant")) {
			bad = append(bad, file)
		}
	}
	return bad
}

func contains(text []byte, part string) bool { return bytes.Contains(text, []byte(part)) }
