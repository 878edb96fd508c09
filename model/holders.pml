/*
 * Who serves the slice in model/ownership.pml and with which epoch, as the rules of
 * docs/design/ownership.md say.
 */

#define COUNT(a) (a[0] + a[1] + a[2])
#define GRANTS ((granted[0] > 0) + (granted[1] > 0) + (granted[2] > 0))

#ifdef MUTANT_no_clock_check
#define LEASE1 (n_up && !n_lapsed)
#else
#define LEASE1 (n_up && !n_lapsed && GRANTS >= 2)
#endif
#define LEASE2 (n_up && term2 == up)

#if defined(MUTANT_heir_without_proof)
#define PROOF (phase >= 1)
#else
#define PROOF (!verdict && (phase == 3 || COUNT(promise_sent) >= 2))
#endif

#ifdef MUTANT_one_lease_while_asking
#define N_ASKING (phase == 2 && LEASE1)
#else
#define N_ASKING (phase == 2 && LEASE1 && LEASE2)
#endif

#ifdef MUTANT_stop_at_superseded_heir
#define H1_PASSED (h1 == gone)
#else
#define H1_PASSED (h1 == gone || h1 == superseded)
#endif

#ifdef MUTANT_heir_serves_unlisted
#define H1_MAY (h1 == up || h1 == asking || h1 == superseded)
#else
#define H1_MAY (h1 == up)
#endif

#define HOLDS_1 ((phase < 2 && LEASE1) || N_ASKING)
#ifdef MOVE
#define N_BEFORE_RELEASE (HOLDS_1 || (phase == 3 && LEASE2 && (!released || in_flight)))
#define N_AGAIN (phase == 3 && LEASE2 && released && m == gone)
#ifdef MUTANT_receiver_before_release
#define M_SERVES (m == up && phase >= 3)
#else
#define M_SERVES (m == up && (m_released || (term2 == gone && PROOF)))
#endif
#define H2_BY_2 (term2 == gone && PROOF && m == gone)
#else
#define N_BEFORE_RELEASE (HOLDS_1 || (phase == 3 && LEASE2))
#define N_AGAIN false
#define M_SERVES false
#define H2_BY_2 (term2 == gone && PROOF)
#endif
#define H1_SERVES (gone1 && H1_MAY)
#define H2_BY_1 (gone1 && H1_PASSED)
#define N_SERVES (N_BEFORE_RELEASE || N_AGAIN)
#define H2_SERVES (H2_BY_1 || H2_BY_2)
#define HOLDERS (N_SERVES + H1_SERVES + H2_SERVES + M_SERVES)

/* Term 2 that moves the slice records epoch 2 and N serves before the release with epoch 1. */
#ifdef MUTANT_giver_epoch
#define GIVER_EPOCH (phase == 3 -> 3 : 1)
#else
#define GIVER_EPOCH 1
#endif
#define EPOCH (N_BEFORE_RELEASE -> GIVER_EPOCH : (N_AGAIN -> 3 : (M_SERVES -> 2 : \
              (H1_SERVES -> 2 : (H2_BY_1 -> 3 : (H2_BY_2 -> 4 : highest_epoch))))))
