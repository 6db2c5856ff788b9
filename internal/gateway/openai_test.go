package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// chatEngine answers chat completions as a model engine does, streamed or whole.
func chatEngine(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	if !req.Stream {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"id":"1","object":"chat.completion","choices":[{"index":0,"finish_reason":"stop","message":{"role":"assistant","content":"a b c"}}]}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, token := range []string{"a", " b", " c"} {
		_, _ = fmt.Fprintf(w, `data: {"id":"1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q}}]}`+"\n\n", token)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// TestOpenAIClient checks the gateway with the unmodified OpenAI client library.
func TestOpenAIClient(t *testing.T) {
	is := is.New(t)
	_, f, url := newGateway(t, chatEngine)
	client := openai.NewClient(option.WithBaseURL(url+"/v1/"), option.WithAPIKey(testToken), option.WithMaxRetries(1))
	ctx := context.Background()

	models, err := client.Models.List(ctx)
	is.NoErr(err)
	is.Equal(len(models.Data), 2) // the model and its adapter
	one, err := client.Models.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(one.ID, "a")

	params := openai.ChatCompletionNewParams{Model: "a", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hi")}}
	whole, err := client.Chat.Completions.New(ctx, params)
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, "a b c")
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	is.NoErr(stream.Err())
	is.Equal(text, "a b c")

	params.Model = "unknown"
	_, err = client.Chat.Completions.New(ctx, params)
	var api *openai.Error
	is.True(errors.As(err, &api))
	is.Equal(api.StatusCode, http.StatusNotFound)
	is.Equal(api.Code, string(ReasonUnknownModel))

	params.Model = "m"
	f.admitErr = NewRefusal(ReasonQueueFull, 0, "full")
	before := f.admitted
	_, err = client.Chat.Completions.New(ctx, params)
	is.True(errors.As(err, &api))
	is.Equal(api.Type, "rate_limit_error")
	is.Equal(f.admitted-before, 1) // X-Should-Retry is false, because the refusal has no Retry-After
}
