package modelengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// errMissingEndMark is returned for a stream without an end mark.
var errMissingEndMark = errors.New("stream without an end mark")

// Content returns the text of a complete response, or of a stream of server-sent
// events that ends with its end mark.
func Content(body []byte, stream bool) (string, error) {
	if !stream {
		return completionContent(body)
	}
	var words strings.Builder
	events := strings.Split(strings.TrimRight(string(body), "\n"), "\n\n")
	last := len(events) - 1
	for _, event := range events[:last] {
		part, err := completionContent([]byte(strings.TrimPrefix(event, "data: ")))
		if err != nil {
			return "", err
		}
		words.WriteString(part)
	}
	if events[last] != "data: [DONE]" {
		return "", errMissingEndMark
	}
	return words.String(), nil
}

func completionContent(data []byte) (string, error) {
	var completion Completion
	if err := json.Unmarshal(data, &completion); err != nil {
		return "", fmt.Errorf("decode completion: %w", err)
	}
	if len(completion.Choices) != 1 {
		return "", fmt.Errorf("%d choices", len(completion.Choices))
	}
	choice := completion.Choices[0]
	switch {
	case choice.Message != nil:
		return choice.Message.Content, nil
	case choice.Delta != nil:
		return choice.Delta.Content, nil
	default:
		return choice.Text, nil
	}
}
