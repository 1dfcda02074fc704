"""Stand-ins and checks that the cases from 11 on share."""
