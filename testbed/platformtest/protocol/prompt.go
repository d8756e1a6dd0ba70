package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is the work of a request, as its headers describe it.
type Prompt struct {
	Model, Adapter      string
	TokensIn, TokensOut int
	Parts               []Part
}

// WriteModel encodes the header of model and adapter.
func (p Prompt) WriteModel() string {
	if p.Adapter == "" {
		return p.Model
	}
	return p.Model + "/" + p.Adapter
}

// WriteCounts encodes the header of both token counts.
func (p Prompt) WriteCounts() string { return fmt.Sprintf("%d,%d", p.TokensIn, p.TokensOut) }

// WriteParts encodes the header of the parts.
func (p Prompt) WriteParts() string {
	parts := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		parts = append(parts, fmt.Sprintf("%s:%d", part.ID, part.Tokens))
	}
	return strings.Join(parts, ",")
}

// ReadPrompt decodes all three headers; empty ones are left out.
func ReadPrompt(model, counts, parts string) (Prompt, error) {
	var prompt Prompt
	prompt.Model, prompt.Adapter, _ = strings.Cut(model, "/")
	if counts != "" {
		if _, err := fmt.Sscanf(counts, "%d,%d", &prompt.TokensIn, &prompt.TokensOut); err != nil {
			return prompt, fmt.Errorf("counts of tokens: %w", err)
		}
	}
	if parts == "" {
		return prompt, nil
	}
	for _, item := range strings.Split(parts, ",") {
		id, count, ok := strings.Cut(item, ":")
		tokens, err := strconv.Atoi(count)
		if !ok || err != nil || id == "" {
			return prompt, fmt.Errorf("part %q of a prompt", item)
		}
		prompt.Parts = append(prompt.Parts, Part{ID: id, Tokens: tokens})
	}
	return prompt, nil
}

// Events is the number of events in a stream.
func (p Prompt) Events(stride int) int {
	return max(1, (p.TokensOut+max(1, stride)-1)/max(1, stride))
}
