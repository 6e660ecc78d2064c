#include "call/call.h"

namespace buckthornford {

Answer makeRefusal(RequestId request, Error reason, bool retryable)
{
    Answer answer;
    answer.request = request;
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.retryable = retryable;
    answer.bodyChecksum = checksum({});
    return answer;
}

Answer makeRefusal(const RunRequest &run, Error reason, bool retryable)
{
    Answer answer = makeRefusal(run.request, reason, retryable);
    answer.attempt = run.attempt;
    answer.retryBudgetLeft = run.retryBudget;
    return answer;
}

bool isIntact(const Answer &answer)
{
    const bool hasValidStatus = answer.status == 0 || isFinalStatus(answer.status);
    return hasValidStatus && checksum(answer.body) == answer.bodyChecksum;
}

} // namespace buckthornford
