#pragma once

#include <stdint.h>

//! The hash table that h2o's private header <h2o/http2_internal.h> includes under this name. The development package of
//! h2o lacks it. Only what that header needs is declared here, with the layout that libh2o was built with; tables are
//! read, never changed.

typedef uint32_t khint_t;
typedef khint_t khiter_t;

#define khash_t(name) kh_##name##_t // NOLINT(bugprone-macro-parentheses)

#define KHASH_MAP_INIT_INT64(name, Value)                                                                              \
    typedef struct {                                                                                                   \
        khint_t n_buckets, size, n_occupied, upper_bound;                                                              \
        uint32_t* flags; /* two bits a bucket; 0: it is in use */                                                      \
        uint64_t* keys;                                                                                                \
        Value* vals;                                                                                                   \
    } kh_##name##_t;                                                                                                   \
    static inline int kh_isUsed_##name(const kh_##name##_t* table, khint_t n)                                          \
    {                                                                                                                  \
        return ((table->flags[n >> 4] >> ((n & 15U) << 1)) & 3U) == 0;                                                 \
    }                                                                                                                  \
    static inline khint_t kh_get_##name(const kh_##name##_t* table, uint64_t key)                                      \
    {                                                                                                                  \
        khint_t n = 0;                                                                                                 \
        while (n < table->n_buckets && !(kh_isUsed_##name(table, n) && table->keys[n] == key))                         \
            ++n;                                                                                                       \
        return n;                                                                                                      \
    }

#define kh_get(name, table, key) kh_get_##name(table, key)
#define kh_end(table) ((table)->n_buckets)
#define kh_val(table, n) ((table)->vals[n])
