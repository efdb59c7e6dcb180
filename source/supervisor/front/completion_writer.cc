#include "supervisor/front/completion_writer.h"

#include <utility>

#include "supervisor/front/caller_answer.h"

namespace wisteriayoke {

CompletionWriter::CompletionWriter(RequestId id,
                                   const CompletionRequest& request,
                                   std::shared_ptr<HttpServerSession> caller)
    : id_(std::move(id)),
      model_(request.model),
      stream_(request.stream),
      chat_(request.chat),
      caller_(std::move(caller)) {}

void CompletionWriter::WriteToken(const std::string& text) {
  ++tokens_;
  if (!stream_) {
    text_ += text;
    return;
  }
  StartStreamOnce();
  caller_->WriteChunk(EncodeTokenEvent(id_.text(), model_, text, chat_));
}

void CompletionWriter::Complete(const std::string& finish_reason) {
  if (stream_) {
    StartStreamOnce();
    caller_->WriteChunk(
        EncodeEndEvents(id_.text(), model_, finish_reason, chat_));
    return caller_->EndStream();
  }
  HttpResponse response;
  AddOutcomeFields(id_, ResultCode::kOk, response.head.fields);
  response.head.fields.push_back({"Content-Type", "application/json"});
  response.body = EncodeCompletion({.id = id_.text(),
                                    .model = model_,
                                    .text = text_,
                                    .finish_reason = finish_reason,
                                    .completion_tokens = tokens_},
                                   chat_);
  caller_->Respond(response);
}

void CompletionWriter::Fail(ResultCode code, const std::string& message) {
  if (!stream_started_) {
    return caller_->Respond(BuildErrorAnswer(id_, code, message));
  }
  caller_->WriteChunk(EncodeErrorEvent(code, message));
  caller_->BreakStream();
}

void CompletionWriter::StartStreamOnce() {
  if (stream_started_) return;
  stream_started_ = true;
  HttpResponseHead head;
  AddOutcomeFields(id_, ResultCode::kOk, head.fields);
  head.fields.push_back({"Content-Type", "text/event-stream"});
  head.fields.push_back({"Cache-Control", "no-cache"});
  caller_->StartStream(head);
}

}  // namespace wisteriayoke
