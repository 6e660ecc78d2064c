#include "call/call.h"

namespace buckthornford {

Answer refusal(RequestId request, Error reason, bool retryable)
{
    Answer answer;
    answer.request = request;
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.retryable = retryable;
    answer.bodyChecksum = checksum({});
    return answer;
}

Answer refusal(const Run &run, Error reason, bool retryable)
{
    Answer answer = refusal(run.request, reason, retryable);
    answer.attempt = run.attempt;
    answer.budgetLeft = run.budget;
    return answer;
}

bool isWhole(const Answer &answer)
{
    return checksum(answer.body) == answer.bodyChecksum;
}

} // namespace buckthornford
