#include <laburnumroute/ejection_owner.h>

#include <algorithm>
#include <cmath>

namespace laburnum {

namespace {

    constexpr auto evaluationInterval = std::chrono::milliseconds(500);

    constexpr auto baseEjectionTime = std::chrono::seconds(10);
    constexpr auto maxEjectionTime = std::chrono::seconds(300);
    /// Time in which the strike count of an instance decays by one.
    constexpr auto strikeLifetime = std::chrono::seconds(300);
    /// A trial without a verdict for this long ends with the return of the instance, because there
    /// is no idempotent traffic to decide it.
    constexpr auto maxTrialTime = std::chrono::seconds(60);

    Decision decisionOn(
        const ServiceSpec& spec, const Permit& permit, const char* kind, const std::string& reason)
    {
        Decision decision { kind, reason };
        decision.facts["service"] = spec.name.value();
        decision.facts["instance"] = permit.instance.value();
        decision.facts["scope"] = permit.scope.value();
        decision.facts["floor_slots"] = spec.floorSlots;
        return decision;
    }

    Decision decisionOn(const ServiceSpec& spec, const Suspicion& suspicion,
        const ServingSlots& serving, const char* kind, const std::string& reason)
    {
        Decision decision = decisionOn(
            spec, { 0, suspicion.instance, suspicion.scope, PermitState::Ejected }, kind, reason);
        decision.facts["symptom"] = symptomName(suspicion.symptom);
        decision.facts["score"] = suspicion.score;
        decision.facts["rate"] = suspicion.rate;
        decision.facts["peer_rate"] = suspicion.peerRate;
        std::uint64_t slots = 0;
        for (const auto& [id, count] : serving)
            slots += count;
        decision.facts["serving_slots"] = Json::UInt64(slots);
        return decision;
    }

} // namespace

void EjectionOwner::receive(const PeerMessage& message, TimePoint now, Outbox& out)
{
    const auto delta = decodeEvidence(message.params);
    Term* term = delta ? termOf(delta->service, now) : nullptr;
    if (!term)
        return;
    Reporter& reporter = term->reporters[message.from];
    if (reporter.incarnation == delta->incarnation && delta->sequence <= reporter.sequence)
        return;
    reporter = { delta->incarnation, delta->sequence, delta->sentAt, now };
    term->detector.add(message.from, *delta, now);
    sendTo(*term, message.from, now, out);
}

void EjectionOwner::tick(TimePoint now, Outbox& out)
{
    std::set<ServiceId> owned;
    for (const auto& spec : m_traffic.declaredServices()) {
        const ServingSlots serving = m_traffic.servingSlots(spec.name);
        Term* term = termOf(spec.name, now);
        updateServing(spec.name, serving, now);
        if (!term)
            continue;
        owned.insert(spec.name);
        term->spec = spec;
        term->detector.setThresholds(thresholdsFor(spec.weighting));
        evaluateTerm(*term, serving, now, out);
    }
    std::erase_if(m_terms, [&](const auto& item) { return !owned.contains(item.first); });
}

EjectionOwner::Term* EjectionOwner::termOf(const ServiceId& service, TimePoint now)
{
    const auto since = m_ownership.ownerSince(service, now);
    if (!m_ownership.isOwner(service, now) || !since) {
        m_terms.erase(service);
        return nullptr;
    }
    const auto found = m_terms.find(service);
    if (found != m_terms.end() && found->second.since == *since)
        return &found->second;
    m_terms.erase(service);
    Term& term = m_terms.try_emplace(service, thresholdsFor(DetectionWeighting::FewFalseEjections))
                     .first->second;
    term.since = *since;
    term.spec.name = service;
    return &term;
}

void EjectionOwner::evaluateTerm(
    Term& term, const ServingSlots& serving, TimePoint now, Outbox& out)
{
    bool changed = dropExpired(term, now);
    if (now >= term.nextEvaluation) {
        term.nextEvaluation = now + evaluationInterval;
        term.detector.evaluate(heldScopes(term), now);
        for (auto& granted : term.granted)
            changed = advancePermit(term, granted, serving, now, out) || changed;
        changed = grantSuspicions(term, serving, now, out) || changed;
    }
    changed = enforceFloor(term, serving, now, out) || changed;
    if (!changed)
        return;
    ++term.version;
    std::erase_if(term.reporters,
        [&](const auto& item) { return item.second.lastReport + permitLeaseAtOwner <= now; });
    for (const auto& [host, reporter] : term.reporters)
        sendTo(term, host, now, out);
}

void EjectionOwner::updateServing(
    const ServiceId& service, const ServingSlots& serving, TimePoint now)
{
    auto& knownSince = m_knownSince[service];
    const auto term = m_terms.find(service);
    OutlierDetector* detector = term == m_terms.end() ? nullptr : &term->second.detector;
    std::erase_if(knownSince, [&](const auto& item) {
        const bool departed = !serving.contains(item.first);
        if (departed && detector)
            detector->forget(item.first);
        return departed;
    });
    for (const auto& [id, slots] : serving) {
        const TimePoint since = knownSince.try_emplace(id, now).first->second;
        if (detector)
            detector->registerInstance(id, since);
    }
}

bool EjectionOwner::dropExpired(Term& term, TimePoint now)
{
    return std::erase_if(term.granted, [&](const GrantedPermit& granted) {
        return granted.permit.state == PermitState::Withdrawn
            && granted.lastGranted + permitLeaseAtOwner <= now;
    }) > 0;
}

bool EjectionOwner::enforceFloor(
    Term& term, const ServingSlots& serving, TimePoint now, Outbox& out)
{
    bool changed = false;
    const auto permits = permitsOf(term);
    const std::size_t effectiveCount = permitsWithinFloor(term.spec.floorSlots, serving, permits);
    for (std::size_t i = effectiveCount; i < term.granted.size(); ++i) {
        if (term.granted[i].permit.state == PermitState::Withdrawn)
            continue;
        setState(term, term.granted[i], PermitState::Withdrawn, "floor", now, out);
        changed = true;
    }
    return changed;
}

bool EjectionOwner::advancePermit(
    Term& term, GrantedPermit& granted, const ServingSlots& serving, TimePoint now, Outbox& out)
{
    const Permit& permit = granted.permit;
    const EjectionScope scope { permit.instance, permit.scope };
    if (permit.state == PermitState::Withdrawn)
        return false;
    if (!serving.contains(permit.instance)) {
        setState(term, granted, PermitState::Withdrawn, "instance-left", now, out);
        return true;
    }
    if (permit.state == PermitState::Ejected) {
        if (now - granted.stateSince < ejectionTime(term, permit.instance, now))
            return false;
        term.detector.startTrial(scope);
        setState(term, granted, PermitState::OnTrial, "ejection-time-over", now, out);
        return true;
    }
    const TrialVerdict verdict = term.detector.trialVerdict(scope);
    if (verdict == TrialVerdict::Unhealthy) {
        addStrike(term, permit.instance, now);
        setState(term, granted, PermitState::Ejected, "trial-failed", now, out);
        return true;
    }
    const bool timeOver = now - granted.stateSince >= maxTrialTime;
    if (verdict == TrialVerdict::Pending && !timeOver)
        return false;
    term.detector.resetScores(permit.instance);
    setState(term, granted, PermitState::Withdrawn,
        verdict == TrialVerdict::Healthy ? "trial-passed" : "no-trial-traffic", now, out);
    return true;
}

bool EjectionOwner::grantSuspicions(
    Term& term, const ServingSlots& serving, TimePoint now, Outbox& out)
{
    bool changed = false;
    std::set<EjectionScope> denied;
    for (const auto& suspicion : term.detector.suspicions()) {
        const EjectionScope scope { suspicion.instance, suspicion.scope };
        if (isCovered(term, scope) || !serving.contains(suspicion.instance))
            continue;
        const Permit permit { term.lastSequence + 1, suspicion.instance, suspicion.scope,
            PermitState::Ejected };
        auto permits = permitsOf(term);
        permits.push_back(permit);
        const bool fits
            = permitsWithinFloor(term.spec.floorSlots, serving, permits) == permits.size();
        const bool leasesExpired = term.since + permitLeaseAtOwner <= now;
        if (!fits || !leasesExpired) {
            denied.insert(scope);
            if (!term.denied.contains(scope))
                out.log(decisionOn(term.spec, suspicion, serving, "deny-ejection",
                    fits ? "new-owner-waits" : "floor"));
            continue;
        }
        ++term.lastSequence;
        term.granted.push_back({ permit, now, now });
        addStrike(term, suspicion.instance, now);
        term.detector.resetScores(suspicion.instance);
        out.log(decisionOn(term.spec, suspicion, serving, "grant-ejection",
            suspicion.scope.value().empty() ? "worse-than-peers" : "path"));
        changed = true;
    }
    term.denied = std::move(denied);
    return changed;
}

bool EjectionOwner::isCovered(const Term& term, const EjectionScope& scope)
{
    return std::any_of(term.granted.begin(), term.granted.end(), [&](const auto& granted) {
        const Permit& permit = granted.permit;
        return permit.state != PermitState::Withdrawn && permit.instance == scope.first
            && (permit.scope.value().empty() || permit.scope == scope.second);
    });
}

std::set<EjectionScope> EjectionOwner::heldScopes(const Term& term)
{
    std::set<EjectionScope> held;
    for (const auto& granted : term.granted) {
        if (granted.permit.state != PermitState::Withdrawn)
            held.insert({ granted.permit.instance, granted.permit.scope });
    }
    return held;
}

std::vector<Permit> EjectionOwner::permitsOf(const Term& term)
{
    std::vector<Permit> permits;
    permits.reserve(term.granted.size() + 1);
    for (const auto& granted : term.granted)
        permits.push_back(granted.permit);
    return permits;
}

Duration EjectionOwner::ejectionTime(Term& term, const InstanceId& instance, TimePoint /*now*/)
{
    const double doublings = std::max(0.0, std::floor(term.strikes[instance].count) - 1.0);
    const Duration time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(baseEjectionTime) * std::exp2(std::min(doublings, 10.0)));
    return std::min<Duration>(time, maxEjectionTime);
}

void EjectionOwner::addStrike(Term& term, const InstanceId& instance, TimePoint now)
{
    Strikes& strikes = term.strikes[instance];
    const double decayed = std::chrono::duration<double>(now - strikes.updated)
        / std::chrono::duration<double>(strikeLifetime);
    strikes.count = std::max(0.0, strikes.count - decayed) + 1.0;
    strikes.updated = now;
}

void EjectionOwner::setState(Term& term, GrantedPermit& granted, PermitState state,
    const char* reason, TimePoint now, Outbox& out)
{
    const char* kind = "eject";
    if (state == PermitState::OnTrial)
        kind = "trial";
    else if (state == PermitState::Withdrawn)
        kind = "return";
    Decision decision = decisionOn(term.spec, granted.permit, kind, reason);
    decision.facts["after_ms"] = Json::Int64(toMillis(now - granted.stateSince));
    decision.facts["strikes"] = term.strikes[granted.permit.instance].count;
    out.log(std::move(decision));
    granted.permit.state = state;
    granted.stateSince = now;
}

void EjectionOwner::sendTo(Term& term, const HostId& host, TimePoint now, Outbox& out)
{
    const Reporter& reporter = term.reporters[host];
    for (auto& granted : term.granted) {
        if (granted.permit.state != PermitState::Withdrawn)
            granted.lastGranted = now;
    }
    const PermitGrant grant { term.spec.name, reporter.incarnation, reporter.sentAt, term.version,
        permitsOf(term) };
    out.send(host, methodPermits, encodePermitGrant(grant));
}

} // namespace laburnum
