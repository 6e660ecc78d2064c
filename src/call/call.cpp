#include "call/call.h"

namespace buckthornford {

Answer refusal(const Run &run, Error reason, bool retryable)
{
    Answer answer;
    answer.request = run.request;
    answer.attempt = run.attempt;
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.retryable = retryable;
    answer.bodyChecksum = checksum({});
    answer.budgetLeft = run.budget;
    return answer;
}

bool isWhole(const Answer &answer)
{
    return checksum(answer.body) == answer.bodyChecksum;
}

} // namespace buckthornford
